package limit

import (
	"os"
	"testing"

	"auburnstep.example/auburnstep/internal/testkit/properties"
)

// propertyRuns is the number of random cases for each property test.
const propertyRuns = 200

func TestMain(m *testing.M) { os.Exit(properties.Run(m, propertyRuns)) }
