//go:build race

package proof

const raceEnabled = true
