package examples_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tealvane/tealvane/internal/standin"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/settings"
)

// Guards against example files that their parsers reject.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("*/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("found no example files:", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		switch base := filepath.Base(file); {
		case base == "contract.yaml":
			_, found := contract.Parse(file, data)
			err = found.Err()
		case base == "standins.yaml":
			_, found := standin.ParseConfig(file, data)
			err = found.Err()
		case strings.HasPrefix(base, "entry-"):
			_, found := settings.Parse(file, data)
			err = found.Err()
		}
		if err != nil {
			t.Error(err)
		}
	}
}
