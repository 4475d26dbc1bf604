package scheduler

import (
	"os"
	"testing"

	"auburnstep.example/auburnstep/internal/testkit/properties"
)

// checksPerProperty is the number of random call sequences that each property
// test runs.
const checksPerProperty = 1000

func TestMain(m *testing.M) { os.Exit(properties.Run(m, checksPerProperty)) }
