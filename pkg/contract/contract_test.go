package contract_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/contract"
)

const faulty = `customer: ""
credentials: [{sha256: xyz}]
unknown: 1
models:
  - {name: a, pool: p, weights_mb: 0, max_replicas: 1, min_replicas: 2}
  - {name: a, pool: p, weights_mb: ten}
  - {name: b, kind: adapter, base_model: nothing, pool: p, weights_mb: 1}
`

// Findings of the document's form are all reported at once, and findings of
// its content all at once when the form is right.
func TestAllFindingsAtOnce(t *testing.T) {
	is := is.New(t)
	_, found := contract.Parse("f.yaml", []byte(faulty))
	is.Equal(len(found), 2)
	is.True(strings.HasPrefix(found[0].String(), "f.yaml:3: unknown: unknown field"))
	is.True(strings.HasPrefix(found[1].String(), "f.yaml:6: models[1].weights_mb: "))

	wellFormed := strings.NewReplacer("unknown: 1\n", "", "ten", "10").Replace(faulty)
	_, found = contract.Parse("f.yaml", []byte(wellFormed))
	var fields []string
	for _, f := range found {
		fields = append(fields, f.Field)
		is.True(f.Line > 0)
	}
	is.Equal(strings.Join(fields, " "), "customer credentials[0].sha256 models[0].min_replicas models[0].weights_mb models[1].name models[2].base_model")
}

// FuzzParse feeds the contract parser with hostile bytes: it must return
// findings and not fail in any other way.
func FuzzParse(f *testing.F) {
	f.Add([]byte(faulty))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("models: {a: b}"))
	f.Add([]byte("? [x]\n: y"))
	f.Add([]byte("a: !!binary x\n---\nb: 1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, found := contract.Parse("f.yaml", data)
		if (c == nil) == (len(found) == 0) {
			t.Fatalf("contract %v with findings %v", c, found)
		}
	})
}
