//go:build !race

package system

const raceDetector = false
