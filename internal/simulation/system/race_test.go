//go:build race

package system

// raceDetector thins the runs out: a run has one goroutine, so the detector
// finds nothing that fewer of them do not show, and costs ten times the time.
const raceDetector = true
