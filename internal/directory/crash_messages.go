package directory

import (
	"slices"
	"time"
	"unicode/utf8"

	"auburnstep.example/auburnstep/internal/quarantine"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// forwardDelay is how long an entry waits before it forwards a crash report that it has
// learned from a member. By then it knows which of the other members have it: a report is
// new to a member only after a restart, or if its source cannot reach the member.
const forwardDelay = 2 * PollInterval

// maxKnownReports bounds a knownReports, which is then rebuilt from the next polls.
const maxKnownReports = 8192

// packCrashReports encodes reports as messages, with their ages in place of times, since
// the clocks of instances differ.
func packCrashReports(now time.Time, reports []quarantine.Report) []*directoryv1.CrashReport {
	age := func(at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }
	var out []*directoryv1.CrashReport
	for _, r := range reports {
		if !isEncodable(r) {
			continue
		}
		m := &directoryv1.CrashReport{
			Endpoint: r.Endpoint, Incarnation: r.Incarnation, Request: r.Request, Parts: r.Parts,
			SentAgeMs: age(r.SentAt), LostAgeMs: age(r.LostAt),
		}
		for _, s := range r.Soundness {
			m.Soundness = append(m.Soundness, byte(s))
		}
		out = append(out, m)
	}
	return out
}

// isEncodable reports whether a report can be sent. Requests are checked where they come in, so
// that this fails for none; one report that cannot be sent would hold back all others.
func isEncodable(r quarantine.Report) bool {
	return utf8.ValidString(r.Endpoint) && utf8.ValidString(r.Request) && !slices.ContainsFunc(r.Parts, func(p string) bool { return !utf8.ValidString(p) })
}

// unpackCrashReports decodes messages. It leaves out those that are malformed and returns an error
// that describes the last of them.
func unpackCrashReports(now time.Time, messages []*directoryv1.CrashReport) ([]quarantine.Report, error) {
	var malformed error
	at := func(ageMs uint32) time.Time { return now.Add(-time.Duration(ageMs) * time.Millisecond) }
	var out []quarantine.Report
	for _, m := range messages {
		if len(m.Soundness) != len(m.Parts) || len(m.Parts) == 0 || len(m.Parts) > quarantine.MaxParts {
			malformed = Error.New("a crash report has %d parts and the soundness of %d", len(m.Parts), len(m.Soundness))
			continue
		}
		r := quarantine.Report{
			Endpoint: m.Endpoint, Incarnation: m.Incarnation, Request: m.Request, Parts: m.Parts,
			SentAt: at(m.SentAgeMs), LostAt: at(m.LostAgeMs),
		}
		for _, s := range m.Soundness {
			r.Soundness = append(r.Soundness, min(quarantine.Soundness(s), quarantine.SoundAfter))
		}
		out = append(out, r)
	}
	return out, malformed
}

// knownReports is what a member is known to have.
type knownReports map[quarantine.Key][]quarantine.Soundness

// add records reports that the member has sent or received.
func (k knownReports) add(reports []quarantine.Report) {
	if len(k)+len(reports) > maxKnownReports {
		clear(k)
	}
	for _, r := range reports {
		known := k[r.Key()]
		for i, s := range r.Soundness {
			if i == len(known) {
				known = append(known, s)
			}
			known[i] = max(known[i], s)
		}
		k[r.Key()] = known
	}
}
