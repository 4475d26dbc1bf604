package verdict

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUnclassifiedMayHaveRun guards against a failure without a verdict that is reported as
// "not run" without proof.
func TestUnclassifiedMayHaveRun(t *testing.T) {
	qt.Check(t, From(errors.New("broken pipe")).Verdict, qt.Equals, MayHaveRun)
	qt.Check(t, (&Error{}).Verdict, qt.Equals, MayHaveRun)
	qt.Check(t, Parse("perhaps"), qt.Equals, MayHaveRun)
}

func TestRoundTrip(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		qt.Check(t, Parse(v.String()), qt.Equals, v)
	}
}

// TestWrappedErrorKeepsVerdict guards against losing the verdict of a wrapped error.
func TestWrappedErrorKeepsVerdict(t *testing.T) {
	err := fmt.Errorf("attempt 2: %w", Refused(429, "limit", "too many"))
	qt.Check(t, From(err).Verdict, qt.Equals, NotRun)
	qt.Check(t, From(err).Type, qt.Equals, "rate_limit_error")
}
