package edge

import (
	"testing"
	"time"
)

// The shares of the grace period must leave enough time to write the last answers, and for the
// process to exit before it is killed.
func TestShutdownShares(t *testing.T) {
	const (
		grace        = 6 * time.Second
		minWriteTime = 400 * time.Millisecond
		minExitTime  = 300 * time.Millisecond
	)
	answered := scaleDuration(answerShare, grace)
	closed := answered + scaleDuration(writeShare, grace)
	if closed-answered < minWriteTime || grace-closed < minExitTime {
		t.Errorf("%v to write answers, %v to exit", closed-answered, grace-closed)
	}
	if answered < grace*5/6 {
		t.Errorf("pending requests answered after %v, too early for slow replicas", answered)
	}
}
