package duty

import "time"

const (
	// finalizeShare is the part of the time until a report is due after which the counts of
	// a window are final. Entries that were cut off meanwhile are still counted, and the rest
	// is left for the call.
	finalizeShare = 0.6
	// maxWindowAge is the age from which a window does not become final any more. Entries and
	// members forget counts that are older.
	maxWindowAge = 60 * time.Second
)

// Windows are the windows of true time for which usage is reported.
type Windows struct {
	Length time.Duration
	// Due is how long after the end of a window its report is due.
	Due time.Duration
}

// At returns the window that contains a time.
func (w Windows) At(t time.Time) int64 {
	ns, length := t.UnixNano(), int64(w.Length)
	window := ns / length
	if ns%length < 0 {
		window--
	}
	return window
}

// next returns the window that becomes final after newest, if that is due.
func (w Windows) next(newest int64, trueTime time.Time) (window int64, due bool) {
	// The oldest permitted window is the first that began at most maxWindowAge ago.
	window = max(newest+1, w.At(trueTime.Add(-maxWindowAge-1))+1)
	end := time.Unix(0, (window+1)*int64(w.Length))
	return window, !trueTime.Before(end.Add(time.Duration(finalizeShare * float64(w.Due))))
}
