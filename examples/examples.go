// Package examples holds example deployments. The development mode runs the
// one in dev.
package examples

import "embed"

// Dev is the deployment of the development mode.
//
//go:embed dev
var Dev embed.FS
