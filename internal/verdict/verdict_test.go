package verdict

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUnclassified guards against a failure that claims "not run" without
// proof because nobody set its verdict.
func TestUnclassified(t *testing.T) {
	qt.Check(t, From(errors.New("broken pipe")).Verdict, qt.Equals, MayHaveRun)
	qt.Check(t, (&Error{}).Verdict, qt.Equals, MayHaveRun)
	qt.Check(t, Parse("perhaps"), qt.Equals, MayHaveRun)
}

func TestRoundTrip(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		qt.Check(t, Parse(v.String()), qt.Equals, v)
	}
}

// TestWrapped guards against losing the verdict of an error that was wrapped.
func TestWrapped(t *testing.T) {
	err := fmt.Errorf("attempt 2: %w", Refused(429, "limit", "too many"))
	qt.Check(t, From(err).Verdict, qt.Equals, NotRun)
	qt.Check(t, From(err).Type, qt.Equals, "rate_limit_error")
}
