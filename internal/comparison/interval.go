package comparison

import "math"

// confidence is the level of all intervals.
const confidence = 0.95

// tail is the probability left out at each end of an interval.
const tail = (1 - confidence) / 2

// ranks returns the ranks (from 1) of the order statistics that enclose a
// quantile of the population with the confidence, whatever its distribution:
// the number of samples below the quantile is binomial. enough is false where
// the samples are too few for both ends.
func ranks(samples int64, quantile float64) (low, high int64, enough bool) {
	first, cumulative := binomial(samples, quantile)
	// low is the greatest rank with P(fewer than low samples below) <= tail;
	// high the smallest with P(fewer than high samples below) >= 1-tail.
	for offset, below := range cumulative {
		number := first + int64(offset)
		if below <= tail {
			low = number + 1
		}
		if below >= 1-tail {
			return low, number + 1, low >= 1 && number+1 <= samples
		}
	}
	return low, samples + 1, false
}

// binomial returns the cumulative distribution of the number of successes, from
// a first number on; what is left out at both ends is under 1e-12.
func binomial(samples int64, probability float64) (first int64, cumulative []float64) {
	const deviations, least = 12, 20
	mean := float64(samples) * probability
	reach := deviations*math.Sqrt(mean*(1-probability)) + least
	first = max(0, int64(mean-reach))
	last := min(samples, int64(mean+reach))
	sum := 0.0
	for number := first; number <= last; number++ {
		sum += math.Exp(logBinomial(samples, number, probability))
		cumulative = append(cumulative, sum)
	}
	return first, cumulative
}

// logBinomial is the logarithm of the probability of a number of successes.
func logBinomial(samples, number int64, probability float64) float64 {
	all, _ := math.Lgamma(float64(samples) + 1)
	successes, _ := math.Lgamma(float64(number) + 1)
	failures, _ := math.Lgamma(float64(samples-number) + 1)
	return all - successes - failures +
		float64(number)*math.Log(probability) + float64(samples-number)*math.Log1p(-probability)
}

// wilson returns the interval of a share of which some in all were counted.
func wilson(some, all int64) (low, high float64) {
	const deviations = 1.959964 // of the normal distribution, for the confidence
	if all == 0 {
		return 0, 1
	}
	n := float64(all)
	share := float64(some) / n
	square := deviations * deviations
	center := share + square/(2*n)
	spread := deviations * math.Sqrt(share*(1-share)/n+square/(4*n*n))
	return max(0, (center-spread)/(1+square/n)), min(1, (center+spread)/(1+square/n))
}
