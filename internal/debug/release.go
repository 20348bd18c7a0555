//go:build !debug

package debug

const panicOnViolation = false
