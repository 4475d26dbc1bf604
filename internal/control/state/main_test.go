package state

import (
	"os"
	"testing"

	"auburnstep.example/auburnstep/internal/testkit/properties"
)

// checksPerProperty is the number of random command sequences that each property test runs.
const checksPerProperty = 200

func TestMain(m *testing.M) { os.Exit(properties.Run(m, checksPerProperty)) }
