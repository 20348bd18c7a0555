//go:build debug

package debug

const asserting = true
