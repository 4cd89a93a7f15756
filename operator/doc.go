// Package operator declares a fleet in Go and prints its configuration.
package operator
