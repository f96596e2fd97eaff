// Package api holds the OpenAPI descriptions of the HTTP APIs. The code that ogen
// generates from them is in internal/api.
package api

//go:generate go tool ogen --target ../internal/api/callers --package callers --clean callers.yaml
//go:generate go tool ogen --target ../internal/api/operators --package operators --clean operators.yaml
