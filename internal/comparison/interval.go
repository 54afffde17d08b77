package comparison

import "math"

// confidence is the confidence level of all intervals.
const confidence = 0.95

// tailProbability is the probability excluded at each end of an interval.
const tailProbability = (1 - confidence) / 2

// quantileRanks returns the 1-based ranks of the order statistics that bound a
// distribution-free confidence interval for a quantile. It relies on the number
// of samples below the quantile being binomially distributed. sufficient is
// false if there are too few samples for either bound.
func quantileRanks(samples int64, quantile float64) (low, high int64, sufficient bool) {
	first, cumulative := binomial(samples, quantile)
	// low is the greatest rank with
	// P(fewer than low samples below) <= tailProbability, and high the smallest
	// with P(fewer than high samples below) >= 1-tailProbability.
	for offset, below := range cumulative {
		number := first + int64(offset)
		if below <= tailProbability {
			low = number + 1
		}
		if below >= 1-tailProbability {
			return low, number + 1, low >= 1 && number+1 <= samples
		}
	}
	return low, samples + 1, false
}

// binomial returns the cumulative distribution of the number of successes,
// starting at first. The probability truncated at both ends is below 1e-12.
func binomial(samples int64, probability float64) (first int64, cumulative []float64) {
	const deviations, margin = 12, 20
	mean := float64(samples) * probability
	halfWidth := deviations*math.Sqrt(mean*(1-probability)) + margin
	first = max(0, int64(mean-halfWidth))
	last := min(samples, int64(mean+halfWidth))
	sum := 0.0
	for number := first; number <= last; number++ {
		sum += math.Exp(logBinomial(samples, number, probability))
		cumulative = append(cumulative, sum)
	}
	return first, cumulative
}

// logBinomial returns the logarithm of the binomial probability mass function.
func logBinomial(samples, number int64, probability float64) float64 {
	all, _ := math.Lgamma(float64(samples) + 1)
	successes, _ := math.Lgamma(float64(number) + 1)
	failures, _ := math.Lgamma(float64(samples-number) + 1)
	return all - successes - failures +
		float64(number)*math.Log(probability) + float64(samples-number)*math.Log1p(-probability)
}

// wilsonInterval returns the Wilson score interval of the proportion successes/total.
func wilsonInterval(successes, total int64) (low, high float64) {
	const z = 1.959964 // quantile of the normal distribution at 1-tailProbability
	if total == 0 {
		return 0, 1
	}
	n := float64(total)
	proportion := float64(successes) / n
	zSquared := z * z
	center := proportion + zSquared/(2*n)
	spread := z * math.Sqrt(proportion*(1-proportion)/n+zSquared/(4*n*n))
	return max(0, (center-spread)/(1+zSquared/n)), min(1, (center+spread)/(1+zSquared/n))
}
