package quota

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a Retry-After at which there is no token, or at which all callers come back at once:
// 150 requests arrive within half a second, and those that are refused return once, when told.
func TestRetryAfter(t *testing.T) {
	for _, nodes := range sizes {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			limit := testLimits[0]
			n := newNetwork(30, nodes, single(limit))
			var returns []time.Duration
			refused, again := 0, 0
			returning := false
			n.onRefusal = func(node *testNode, retryAfter time.Duration) {
				if retryAfter <= 0 || retryAfter > maxRetryAfter {
					t.Errorf("Retry-After %v", retryAfter)
				}
				if returning {
					again++
					return
				}
				refused++
				returns = append(returns, n.now+retryAfter)
				n.at(n.now+retryAfter, func() {
					returning = true
					n.request(node, "a")
					returning = false
				})
			}
			n.load("a", 6*time.Second, 6500*time.Millisecond, constant(300), n.anyNode)
			n.run(20 * time.Second)
			most := worstWindow(returns, 250*time.Millisecond)
			t.Logf("%d refused, %d of them again at their return; at most %d return within 250 ms", refused, again, most)
			if refused < 50 || again > refused/5 {
				t.Errorf("%d refused, %d of them again", refused, again)
			}
			if most > refused/4 {
				t.Errorf("%d return within 250 ms", most)
			}
			n.check(t, "a", 0)
		})
	}
}
