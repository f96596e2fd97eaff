package pool_test

import (
	"testing"

	"github.com/tealvane/tealvane/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, 300, 80) }
