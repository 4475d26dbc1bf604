// Package lint checks a routing table before it is sent: it finds what members would refuse,
// entries that can never match and limits that contradict each other. It does no I/O.
package lint

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity is how grave a finding is.
type Severity string

const (
	// Error marks a fault because of which the members refuse the whole table.
	Error Severity = "error"
	// Warning marks an entry that is accepted and probably not meant so.
	Warning Severity = "warning"
)

// Code names a kind of finding. Codes do not change, so that scripts can rely on them.
type Code string

// Codes of errors in routing tables.
const (
	CodeVersionMissing  Code = "version-missing"
	CodeServiceName     Code = "service-name"
	CodeRouteHost       Code = "route-host"
	CodeRoutePrefix     Code = "route-prefix"
	CodeRouteKind       Code = "route-kind"
	CodeRouteTimeout    Code = "route-timeout"
	CodeRouteNegative   Code = "route-negative"
	CodeTargetUnknown   Code = "target-unknown"
	CodeTargetWeight    Code = "target-weight"
	CodeRouteWithout    Code = "route-without-target"
	CodeRouteHidden     Code = "route-hidden"
	CodeCustomerName    Code = "customer-name"
	CodeCustomerKey     Code = "customer-key"
	CodeCustomerSameKey Code = "customer-same-key"
)

// Codes of warnings about routing tables.
const (
	CodeVersionNotHigher    Code = "version-not-higher"
	CodeRouteName           Code = "route-name"
	CodeHostNeverMatches    Code = "route-host-never-matches"
	CodeTargetNeverUsed     Code = "target-never-used"
	CodeServiceUnused       Code = "service-unused"
	CodeCustomerTwice       Code = "customer-twice"
	CodeCustomerWithoutKeys Code = "customer-without-keys"
	CodeNobodyAdmitted      Code = "nobody-admitted"
	CodeTimeoutBelow        Code = "timeout-below-objective"
	CodeAttemptsUnused      Code = "attempts-not-repeatable"
	CodeResumableUnused     Code = "resumable-not-stream"
	CodePauseUnused         Code = "pause-not-stream"
	CodePauseAboveTimeout   Code = "pause-above-timeout"
	CodeLimitNegative       Code = "limit-negative"
	CodeBodyAboveMemory     Code = "body-above-memory"
	CodeEngineWithoutSlots  Code = "engine-without-slots"
	CodeScaleBounds         Code = "scale-bounds"
)

// Finding is one fault.
type Finding struct {
	Code     Code     `json:"code"`
	Severity Severity `json:"severity"`
	// Path is the entry, such as routes/NAME.
	Path string `json:"path"`
	// Message is one sentence.
	Message string `json:"message"`
}

// HasErrors reports whether any finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// Sort puts errors before warnings and otherwise keeps the order.
func Sort(findings []Finding) {
	rank := map[Severity]int{Error: 0, Warning: 1}
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(rank[a.Severity], rank[b.Severity]) })
}

// collector collects findings.
type collector struct{ findings []Finding }

func (c *collector) error(code Code, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{code, Error, path, fmt.Sprintf(format, args...)})
}

func (c *collector) warn(code Code, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{code, Warning, path, fmt.Sprintf(format, args...)})
}

// entryPath returns the path of an entry of a list: its name, or its index if it has none.
func entryPath(list, name string, index int) string {
	if name == "" {
		return fmt.Sprintf("%s/#%d", list, index)
	}
	return list + "/" + name
}
