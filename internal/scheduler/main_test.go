package scheduler

import (
	"os"
	"testing"

	"auburnstep.example/auburnstep/internal/testkit/properties"
)

// drawnHistories is the number of drawn histories of each property test.
const drawnHistories = 1000

func TestMain(m *testing.M) { os.Exit(properties.Run(m, drawnHistories)) }
