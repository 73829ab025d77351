package capacity

import (
	"math"
	"slices"
)

// Figure is a measured value over the rounds of a run.
type Figure struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// figureOf sums up the values of all rounds.
func figureOf(values []float64) Figure {
	if len(values) == 0 {
		return Figure{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Figure{Median: median, Min: sorted[0], Max: sorted[len(sorted)-1]}
}

// Line is a least-squares line over the number of endpoints. Residual is the
// greatest distance of a point from it, as a share of the largest point. The
// services grow with the endpoints, so that the slope covers both.
type Line struct {
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope_per_endpoint"`
	Residual float64 `json:"residual_share"`
}

// fit returns the line through the points (x[i], y[i]).
func fit(x, y []float64) Line {
	if len(x) < 2 {
		return Line{}
	}
	meanX, meanY := mean(x), mean(y)
	var covariance, variance float64
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	if variance == 0 {
		return Line{Base: meanY}
	}
	line := Line{Slope: covariance / variance}
	line.Base = meanY - line.Slope*meanX
	line.Residual = residual(line, x, y)
	return line
}

func residual(line Line, x, y []float64) float64 {
	var worst, largest float64
	for i := range x {
		worst = max(worst, math.Abs(y[i]-line.Base-line.Slope*x[i]))
		largest = max(largest, math.Abs(y[i]))
	}
	if largest == 0 {
		return 0
	}
	return worst / largest
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
