// Package quarantine finds prompt parts and whole requests that crash the endpoints which
// run them. Entries report each crash with the requests that may have caused it, and share
// their reports through the control members, so that every entry reaches the same
// conclusion from the crashes that all of them saw.
//
// A request counts as the last part of its own prompt, under its fingerprint, which it
// shares with its repeats only.
//
// It does no I/O and takes the time as an argument.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of crashes, each under a request that was sent after the
	// crash before it, from which on a part is quarantined.
	minCrashes = 3
	// settleTime is how long a part that was in complete answers before the crashes is given
	// to be in one after them, before it is quarantined. It covers the time in which entries
	// learn of each other's answers.
	settleTime = time.Second
	// ageTolerance is the error of the times in a report that other processes allow for.
	// They are sent as ages, which the time of the transfer adds to.
	ageTolerance = 50 * time.Millisecond
	// reportRetention is how long a crash is remembered. A part is released once the
	// crashes that speak against it are forgotten.
	reportRetention = 15 * time.Minute
	// maxReports bounds the reports of a ledger, at about 300 bytes each.
	maxReports = 1024
	// MaxParts bounds the parts of a report. Of a longer prompt the last ones are kept.
	MaxParts = 64
	// answeredRetention and maxAnswered bound the parts of complete answers that a ledger
	// remembers.
	answeredRetention = time.Minute
	maxAnswered       = 4096
)

// RequestPrefix distinguishes the fingerprints of whole requests from prompt parts.
const RequestPrefix = "request:"

// Soundness is what is known of a prompt part with respect to one crash. Higher values
// supersede lower ones.
type Soundness byte

// Values of Soundness.
const (
	Unknown Soundness = iota
	// SoundBefore means that a request with the part got a complete answer before the crash.
	SoundBefore
	// SoundAfter means that one got a complete answer after the crash, so that the part did
	// not cause it.
	SoundAfter
)

// Report is a request that an endpoint had, and had not well begun to answer, when it
// crashed.
type Report struct {
	Endpoint    string
	Incarnation int64
	Request     string
	// Parts lists the ids of what may have caused the crash: parts of the prompt, without the
	// last one, which no other request shares, and the fingerprint of the request.
	Parts []string
	// Soundness has an element for each part.
	Soundness []Soundness
	// SentAt is when the request was sent and LostAt when the connection broke.
	SentAt, LostAt time.Time
}

// Key identifies a report.
type Key struct {
	Endpoint    string
	Incarnation int64
	Request     string
}

// Key returns the key of the report.
func (r *Report) Key() Key { return Key{r.Endpoint, r.Incarnation, r.Request} }

// crash is the end of one incarnation of an endpoint.
type crash struct {
	endpoint    string
	incarnation int64
}

func (r *Report) crash() crash { return crash{r.Endpoint, r.Incarnation} }

// record is a report in a ledger.
type record struct {
	Report
	// revision is the revision of the ledger at the last change, which happened at
	// changedAt. own is set if the change was observed by this process.
	revision  uint64
	changedAt time.Time
	own       bool
}

// Ledger holds crash reports and the conclusions from them. Merging the reports of two
// ledgers in any order and any number of times gives the same result. It is not safe for
// concurrent use.
type Ledger struct {
	revision uint64
	records  map[Key]*record
	// reportsByPart counts the records with a part.
	reportsByPart map[string]int
	answered      map[string]time.Time
	quarantined   map[string]bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{records: make(map[Key]*record), reportsByPart: make(map[string]int), answered: make(map[string]time.Time), quarantined: make(map[string]bool)}
}

// Add records reports that this process observed, and returns whether any is new.
func (l *Ledger) Add(now time.Time, reports ...Report) bool { return l.mergeAll(now, reports, true) }

// Merge records reports of another ledger, and returns whether they changed anything.
func (l *Ledger) Merge(now time.Time, reports ...Report) bool {
	return l.mergeAll(now, reports, false)
}

func (l *Ledger) mergeAll(now time.Time, reports []Report, own bool) (changed bool) {
	for _, r := range reports {
		changed = l.merge(now, r, own) || changed
	}
	if changed {
		l.conclude(now)
	}
	return changed
}

// merge records a report without drawing conclusions.
func (l *Ledger) merge(now time.Time, r Report, own bool) bool {
	if len(r.Parts) == 0 || now.Sub(r.LostAt) > reportRetention {
		return false
	}
	rec := l.records[r.Key()]
	isNew := rec == nil
	if isNew {
		l.makeRoom()
		rec = &record{Report: r}
		rec.Parts = slices.Clone(r.Parts[max(0, len(r.Parts)-MaxParts):])
		rec.Soundness = make([]Soundness, len(rec.Parts))
		l.records[r.Key()] = rec
		l.count(now, rec)
	}
	changed := isNew
	for i, s := range r.Soundness[:min(len(r.Soundness), len(rec.Soundness))] {
		if s > rec.Soundness[i] {
			rec.Soundness[i] = s
			changed = true
		}
	}
	if !changed {
		return false
	}
	l.touch(now, rec, own)
	for i, part := range rec.Parts {
		if at, ok := l.answered[part]; ok && isNew {
			l.mark(now, rec, i, at)
		}
	}
	return true
}

// count adds a new record to reportsByPart. A request that is seen for the second time makes
// its first record worth telling others; see Since.
func (l *Ledger) count(now time.Time, rec *record) {
	for _, part := range rec.Parts {
		l.reportsByPart[part]++
		if l.reportsByPart[part] != 2 || !strings.HasPrefix(part, RequestPrefix) {
			continue
		}
		for _, other := range l.records {
			if other != rec && slices.Contains(other.Parts, part) {
				l.touch(now, other, other.own)
			}
		}
	}
}

// remove removes a record.
func (l *Ledger) remove(rec *record) {
	delete(l.records, rec.Key())
	for _, part := range rec.Parts {
		if l.reportsByPart[part]--; l.reportsByPart[part] <= 0 {
			delete(l.reportsByPart, part)
		}
	}
}

// isSingle reports whether a record says nothing yet: it blames only a request that no
// other record blames. When many endpoints crash at once, nearly all records are of this
// kind.
func (l *Ledger) isSingle(rec *record) bool {
	return len(rec.Parts) == 1 && strings.HasPrefix(rec.Parts[0], RequestPrefix) && l.reportsByPart[rec.Parts[0]] < 2
}

func (l *Ledger) touch(now time.Time, rec *record, own bool) {
	l.revision++
	rec.revision, rec.changedAt, rec.own = l.revision, now, own
}

// mark records that a request with part i of a report got a complete answer at a time.
func (l *Ledger) mark(now time.Time, rec *record, i int, answeredAt time.Time) bool {
	s := SoundBefore
	if answeredAt.After(rec.LostAt) {
		s = SoundAfter
	}
	if s <= rec.Soundness[i] {
		return false
	}
	rec.Soundness[i] = s
	l.touch(now, rec, true)
	return true
}

// RecordAnswered records that this process relayed a complete answer to a request with
// the parts.
func (l *Ledger) RecordAnswered(now time.Time, parts []string) {
	for _, part := range parts {
		if _, ok := l.answered[part]; !ok && len(l.answered) >= maxAnswered {
			l.forgetAnswered(now)
		}
		l.answered[part] = now
	}
	changed := false
	for _, rec := range l.records {
		for i, part := range rec.Parts {
			if rec.Soundness[i] < SoundAfter && slices.Contains(parts, part) {
				changed = l.mark(now, rec, i, now) || changed
			}
		}
	}
	if changed {
		l.conclude(now)
	}
}

// forgetAnswered makes room for the parts of further answers, a quarter of all at least,
// since it visits all of them.
func (l *Ledger) forgetAnswered(now time.Time) {
	maps.DeleteFunc(l.answered, func(_ string, at time.Time) bool { return now.Sub(at) > answeredRetention })
	for part := range l.answered {
		if len(l.answered) <= maxAnswered*3/4 {
			return
		}
		delete(l.answered, part)
	}
}

// makeRoom removes a report if the ledger is full: the oldest of the single ones, or else of
// those that support no quarantine, or else the oldest.
func (l *Ledger) makeRoom() {
	if len(l.records) < maxReports {
		return
	}
	var victim *record
	value := func(r *record) int {
		switch {
		case l.isSingle(r):
			return 0
		case !slices.ContainsFunc(r.Parts, func(p string) bool { return l.quarantined[p] }):
			return 1
		}
		return 2
	}
	for _, rec := range l.records {
		if victim == nil || cmp.Or(cmp.Compare(value(rec), value(victim)), rec.LostAt.Compare(victim.LostAt)) < 0 {
			victim = rec
		}
	}
	l.remove(victim)
}

// Update draws the conclusions that depend on the time: it forgets reports after
// reportRetention and quarantines parts after settleTime. It is to be called several
// times per settleTime.
func (l *Ledger) Update(now time.Time) {
	if len(l.records) > 0 {
		for _, rec := range l.records {
			if now.Sub(rec.LostAt) > reportRetention {
				l.remove(rec)
			}
		}
		l.conclude(now)
	}
}

// suspicion is what speaks against a part.
type suspicion struct {
	part string
	// crashes holds the crashes that cannot be parts of one event: each under a request
	// that was sent after the crash before it, which was lost at lastLost.
	crashes  []crash
	lastLost time.Time
	// reachedAt is when minCrashes was reached.
	reachedAt time.Time
	// request is the first request, and severalSent reports that there are others.
	request     string
	severalSent bool
	// previous is the request of the last of the crashes.
	previous    string
	soundBefore bool
	// position is the largest index of the part in a prompt.
	position int
}

// conclude sets the quarantined parts. It looks for the fewest parts that explain the
// crashes. Of parts that explain the same crashes it takes one without complete answers
// in the past, and the one that comes last in the prompts, which the fewest requests
// share.
func (l *Ledger) conclude(now time.Time) {
	clear(l.quarantined)
	var records []*record
	for _, rec := range l.records {
		if slices.ContainsFunc(rec.Parts, func(p string) bool { return l.reportsByPart[p] >= minCrashes }) {
			records = append(records, rec)
		}
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(a.LostAt.Compare(b.LostAt), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	for {
		var worst *suspicion
		for _, s := range suspicions(records) {
			if s.isSettled(now) && (worst == nil || s.worseThan(worst)) {
				worst = s
			}
		}
		if worst == nil {
			return
		}
		l.quarantined[worst.part] = true
		explained := make(map[crash]bool)
		for _, rec := range records {
			if slices.Contains(rec.Parts, worst.part) {
				explained[rec.crash()] = true
			}
		}
		records = slices.DeleteFunc(records, func(rec *record) bool { return explained[rec.crash()] })
	}
}

// suspicions returns what the records, which are sorted by time, say of each part.
func suspicions(records []*record) map[string]*suspicion {
	out := make(map[string]*suspicion)
	for _, rec := range records {
		for i, part := range rec.Parts {
			if rec.Soundness[i] == SoundAfter {
				continue
			}
			s := out[part]
			if s == nil {
				s = &suspicion{part: part, request: rec.Request}
				out[part] = s
			}
			if s.isFurtherCrash(rec) {
				s.crashes = append(s.crashes, rec.crash())
				s.lastLost, s.previous = rec.LostAt, rec.Request
				if len(s.crashes) == minCrashes {
					s.reachedAt = rec.LostAt
				}
			}
			s.severalSent = s.severalSent || rec.Request != s.request
			s.soundBefore = s.soundBefore || rec.Soundness[i] == SoundBefore
			s.position = max(s.position, i)
		}
	}
	return out
}

// isFurtherCrash reports whether a record adds to the crashes. A crash may end several
// requests with the part.
func (s *suspicion) isFurtherCrash(rec *record) bool {
	if slices.Contains(s.crashes, rec.crash()) {
		return false
	}
	followsItself := rec.Request == s.previous // The attempts of one request follow each other.
	return len(s.crashes) == 0 || followsItself || !rec.SentAt.Before(s.lastLost.Add(-ageTolerance))
}

// isSettled reports whether there is enough against the part to quarantine it.
func (s *suspicion) isSettled(now time.Time) bool {
	return len(s.crashes) >= minCrashes && s.severalSent && (!s.soundBefore || now.Sub(s.reachedAt) >= settleTime)
}

func (s *suspicion) worseThan(o *suspicion) bool {
	if s.soundBefore != o.soundBefore {
		return o.soundBefore
	}
	return cmp.Or(cmp.Compare(len(s.crashes), len(o.crashes)), cmp.Compare(s.position, o.position), cmp.Compare(s.part, o.part)) > 0
}

// Quarantined returns the quarantined parts.
func (l *Ledger) Quarantined() map[string]bool { return maps.Clone(l.quarantined) }

// Any reports whether any part is quarantined.
func (l *Ledger) Any() bool { return len(l.quarantined) > 0 }

// Find returns the first quarantined part.
func (l *Ledger) Find(parts []string) (string, bool) {
	if i := slices.IndexFunc(parts, func(p string) bool { return l.quarantined[p] }); i >= 0 {
		return parts[i], true
	}
	return "", false
}

// Against returns the reports that speak against a part.
func (l *Ledger) Against(part string) (out []Report) {
	for _, rec := range l.records {
		if i := slices.Index(rec.Parts, part); i >= 0 && rec.Soundness[i] < SoundAfter {
			out = append(out, rec.copy())
		}
	}
	return out
}

// Revision increases with each change of a report.
func (l *Ledger) Revision() uint64 { return l.revision }

// Since returns the reports that have changed since a revision, without the single ones:
// whoever collects the reports of all entries does not repeat them to each entry.
func (l *Ledger) Since(revision uint64) (out []Report) {
	if revision == l.revision {
		return nil
	}
	for _, rec := range l.records {
		if rec.revision > revision && !l.isSingle(rec) {
			out = append(out, rec.copy())
		}
	}
	return out
}

// Missing returns the reports of which a ledger with the known soundness lacks something.
// Those that this process has learned from others are left out for forwardDelay, since
// their source is telling the others as well.
func (l *Ledger) Missing(now time.Time, known func(Key) []Soundness, forwardDelay time.Duration) (out []Report) {
	for key, rec := range l.records {
		if !rec.own && now.Sub(rec.changedAt) < forwardDelay {
			continue
		}
		if !covers(known(key), rec.Soundness) {
			out = append(out, rec.copy())
		}
	}
	return out
}

// covers reports whether known holds at least what soundness says.
func covers(known, soundness []Soundness) bool {
	if len(known) < len(soundness) {
		return false
	}
	for i, s := range soundness {
		if known[i] < s {
			return false
		}
	}
	return true
}

func (r *record) copy() Report {
	out := r.Report
	out.Parts, out.Soundness = slices.Clone(r.Parts), slices.Clone(r.Soundness)
	return out
}
