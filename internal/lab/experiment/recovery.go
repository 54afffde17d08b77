package experiment

import "slices"

// The constants of recovery.
const (
	// normalLatency is how many times the median p99 of the seconds before
	// the fault still counts as normal.
	normalLatency = 1.5
	// normalCoverage is how far coverage may be under that before the fault.
	normalCoverage = 0.005
	// normalSeconds at the end must be normal.
	normalSeconds = 3
	// notRecovered is the time of a run that did not get back.
	notRecovered = -1
)

// Recovery is how a strategy came back after the last fault's end.
type Recovery struct {
	// Seconds until latency and coverage were normal for good, -1 if they were
	// not for the last three seconds.
	Seconds int `json:"seconds"`
	// Surge is the greatest number of sub-requests that reached back ends in
	// one second after the fault, as a share of the greatest before it.
	Surge float64 `json:"surge"`
}

// recoveryOf reads the series: the fault is from one second to another, and
// what is before warm does not count.
func recoveryOf(series []Point, warm, from, to int) *Recovery {
	var latencies []float64
	before, after, coverage := 0, 0, 0.0
	for _, point := range series[warm:from] {
		latencies = append(latencies, point.Figures.P99)
		coverage += point.Figures.Coverage
		before = max(before, point.Arrivals)
	}
	for _, point := range series[to:] {
		after = max(after, point.Arrivals)
	}
	if len(latencies) == 0 {
		return nil
	}
	slices.Sort(latencies)
	usual := latencies[len(latencies)/2]
	coverage /= float64(len(latencies))
	normal := func(point *Point) bool {
		return point.Figures.P99 <= normalLatency*usual && point.Figures.Coverage >= coverage-normalCoverage
	}
	return &Recovery{Seconds: normalForGood(series, to, normal), Surge: share(after, before, 0)}
}

// normalForGood returns the time from the fault's end to the end of the last
// second that was not normal.
func normalForGood(series []Point, to int, normal func(*Point) bool) int {
	last := to - 1
	for second := to; second < len(series); second++ {
		if !normal(&series[second]) {
			last = second
		}
	}
	if last >= len(series)-normalSeconds {
		return notRecovered
	}
	return last + 1 - to
}
