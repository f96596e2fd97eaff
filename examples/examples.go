// Package examples holds example deployments and emulator scenarios.
package examples

import "embed"

// Dev holds the deployment that the development mode runs.
//
//go:embed dev
var Dev embed.FS
