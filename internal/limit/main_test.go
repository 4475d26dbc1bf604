package limit

import (
	"os"
	"testing"

	"auburnstep.example/auburnstep/internal/testkit/properties"
)

// checksPerProperty is the number of random cases for each property test.
const checksPerProperty = 200

func TestMain(m *testing.M) { os.Exit(properties.Run(m, checksPerProperty)) }
