package edge

import (
	"testing"
	"time"
)

// TestAnswersOfAStopHaveTimeToBeWritten: what is answered at the last moment is on its way before
// the connections end, and the process ends before it is killed.
func TestAnswersOfAStopHaveTimeToBeWritten(t *testing.T) {
	const (
		grace      = 6 * time.Second
		forAnswers = 400 * time.Millisecond
		forTheEnd  = 300 * time.Millisecond
	)
	answered := shareOf(answerShare, grace)
	over := answered + shareOf(writeShare, grace)
	if over-answered < forAnswers || grace-over < forTheEnd {
		t.Errorf("%v for the answers, %v for the end", over-answered, grace-over)
	}
	if answered < grace*5/6 {
		t.Errorf("answered after %v, though replicas may still be at work on it then", answered)
	}
}
