package entryhost

import (
	"testing"

	"github.com/tealvane/tealvane/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, 20, 30) }
