package contract

import (
	"fmt"
	"time"

	"github.com/tealvane/tealvane/pkg/finding"
	"github.com/tealvane/tealvane/pkg/wfq"
	"github.com/tealvane/tealvane/pkg/yamlx"
)

// check adds a finding for each rule that the document violates on its own.
func (c *Contract) check(doc *yamlx.Document) {
	if !namePattern.MatchString(c.Customer) {
		doc.Add("customer", "a name of letters, digits and ._:/- is expected")
	}
	c.checkCredentials(doc)
	classes := c.checkClasses(doc)
	if len(c.Models) == 0 || len(c.Models) > maxModels {
		doc.Add("models", "1 to %d models are expected", maxModels)
	}
	byName := map[string]Model{}
	for i, m := range c.Models {
		field := fmt.Sprintf("models[%d]", i)
		if _, duplicate := byName[m.Name]; duplicate {
			doc.Add(field+".name", "duplicate name %q", m.Name)
		}
		byName[m.Name] = m
		m.checkNames(doc, field, classes)
		m.checkLimits(doc, field)
	}
	for i, m := range c.Models {
		m.checkBaseModel(doc, fmt.Sprintf("models[%d]", i), byName)
	}
	checkDuration(doc, "key_retention", c.KeyRetention, time.Hour, 90*24*time.Hour)
	if !wfq.ValidWeight(c.Weight) {
		doc.Add("weight", "a number from %g to %g is expected", wfq.MinWeight, wfq.MaxWeight)
	}
	if c.Weights.IdleHour < 0 || c.Weights.ColdStartSecond < 0 {
		doc.Add("weights", "costs must not be negative")
	}
}

func (c *Contract) checkCredentials(doc *yamlx.Document) {
	if len(c.Credentials) == 0 || len(c.Credentials) > maxCredentials {
		doc.Add("credentials", "1 to %d credentials are expected", maxCredentials)
	}
	for i, credential := range c.Credentials {
		if !digestPattern.MatchString(credential.SHA256) {
			doc.Add(fmt.Sprintf("credentials[%d].sha256", i), "64 lower-case hexadecimal digits are expected")
		}
	}
}

func (c *Contract) checkClasses(doc *yamlx.Document) map[string]bool {
	names := map[string]bool{}
	for i, class := range c.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		if !namePattern.MatchString(class.Name) || names[class.Name] {
			doc.Add(field+".name", "a unique name is expected")
		}
		names[class.Name] = true
		checkDuration(doc, field+".max_wait", class.MaxWait, time.Millisecond, maxWait)
		if class.RefuseRank < 0 || class.RefuseRank > maxRefuseRank {
			doc.Add(field+".refuse_rank", "0 to %d are expected", maxRefuseRank)
		}
	}
	return names
}

func (m Model) checkNames(doc *yamlx.Document, field string, classes map[string]bool) {
	if !namePattern.MatchString(m.Name) {
		doc.Add(field+".name", "a name of letters, digits and ._:/- is expected")
	}
	if !namePattern.MatchString(m.Pool) {
		doc.Add(field+".pool", "a pool name is expected")
	}
	if m.Class != "" && !classes[m.Class] {
		doc.Add(field+".class", "%q is not in classes", m.Class)
	}
	switch m.Kind {
	case Base, Adapter, Service:
	default:
		doc.Add(field+".kind", "%q is not one of base, adapter, service", m.Kind)
	}
}

func (m Model) checkLimits(doc *yamlx.Document, field string) {
	if m.Concurrency < 1 || m.Concurrency > maxConcurrency {
		doc.Add(field+".concurrency", "1 to %d are expected", maxConcurrency)
	}
	if !m.Loadable() {
		return
	}
	if m.MaxReplicas < 1 || m.MaxReplicas > maxReplicas {
		doc.Add(field+".max_replicas", "1 to %d are expected", maxReplicas)
	}
	if m.MinReplicas < 0 || m.MinReplicas > m.MaxReplicas {
		doc.Add(field+".min_replicas", "0 to max_replicas (%d) are expected", m.MaxReplicas)
	}
	if m.WeightsMB < 1 || m.WeightsMB > maxMemoryMB {
		doc.Add(field+".weights_mb", "1 to %d are expected", int64(maxMemoryMB))
	}
	if m.KVCacheMB < 0 || m.KVCacheMB > maxMemoryMB {
		doc.Add(field+".kv_cache_mb", "0 to %d are expected", int64(maxMemoryMB))
	}
	checkDuration(doc, field+".keep_alive", m.KeepAlive, 0, maxWait)
	checkDuration(doc, field+".load_estimate", m.LoadEstimate, 0, time.Hour)
}

func (m Model) checkBaseModel(doc *yamlx.Document, field string, all map[string]Model) {
	if m.Kind != Adapter {
		if m.BaseModel != "" {
			doc.Add(field+".base_model", "only adapters have a base model")
		}
		return
	}
	base, ok := all[m.BaseModel]
	if !ok || base.Kind != Base {
		doc.Add(field+".base_model", "%q is not a base model of this contract", m.BaseModel)
		return
	}
	if base.Pool != m.Pool {
		doc.Add(field+".pool", "must be %q, the pool of base model %q", base.Pool, m.BaseModel)
	}
}

func checkDuration(doc *yamlx.Document, field string, d, low, high time.Duration) {
	if d < low || d > high {
		doc.Add(field, "a duration from %s to %s is expected", low, high)
	}
}

// CheckCapacity reports models of c whose pool is unknown or too small for the
// minimum replicas of all contracts. poolMB is the memory of each pool in
// megabytes; others are the other contracts in force.
func (c *Contract) CheckCapacity(poolMB map[string]int64, others []*Contract) finding.List {
	var findings finding.List
	requiredMB := map[string]int64{}
	for _, other := range append(others, c) {
		for _, m := range other.Models {
			requiredMB[m.Pool] += int64(m.MinReplicas) * m.MemoryMB()
		}
	}
	for i, m := range c.Models {
		if !m.Loadable() {
			continue
		}
		availableMB, known := poolMB[m.Pool]
		field := fmt.Sprintf("models[%d].pool", i)
		if !known {
			c.add(&findings, field, "pool %q has no known endpoint", m.Pool)
			continue
		}
		if m.MinReplicas > 0 && requiredMB[m.Pool] > availableMB {
			c.add(&findings, field, "min_replicas of all contracts need %d MB in pool %q, which has %d MB", requiredMB[m.Pool], m.Pool, availableMB)
		}
	}
	return findings
}

func (c *Contract) add(findings *finding.List, field, format string, args ...any) {
	*findings = append(*findings, finding.Finding{
		Line:    c.doc.Line(field),
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}
