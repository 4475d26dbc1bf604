package limit

import (
	"os"
	"testing"

	"auburnstep.example/auburnstep/internal/testkit/properties"
)

// drawnRuns is the number of cases of each property test.
const drawnRuns = 200

func TestMain(m *testing.M) { os.Exit(properties.Run(m, drawnRuns)) }
