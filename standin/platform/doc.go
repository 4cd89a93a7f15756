// Package platform is a stand-in for the platform in tests and first runs.
package platform
