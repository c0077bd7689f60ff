//go:build race

package endpoint_test

const raceEnabled = true
