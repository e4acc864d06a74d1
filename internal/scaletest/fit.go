// This file owns the fits: a line through points by least squares, with the interval that its slope lies in, and whether it
// foretells the largest point from the others.

package scaletest

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Fit is a line y = At + Slope x. The interval is of 95%, by Student's distribution; with two points there is none.
type Fit struct {
	Points    int     `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Low       float64 `json:"low"` // the slope's interval
	High      float64 `json:"high"`
	// The largest point, foretold by a line through the others, and as it was measured.
	LargestX      float64 `json:"largest"`
	Predicted     float64 `json:"predicted"`
	Measured      float64 `json:"measured"`
	RelativeError float64 `json:"off"` // part of the measured
}

// offMost is by how much the largest point may be off before the line is no line.
const maxRelativeError = 0.15

// Holds tells whether the largest point was foretold well enough to multiply the slope up.
func (f Fit) IsLinear() bool { return f.Points >= 3 && math.Abs(f.RelativeError) <= maxRelativeError }

// through is the line by least squares; one that falls is taken as flat: nothing here costs less for there being more of it.
func leastSquares(x, y []float64) (intercept, slope float64) {
	if intercept, slope = stat.LinearRegression(x, y, nil, false); slope < 0 {
		return stat.Mean(y, nil), 0
	}
	return intercept, slope
}

// Line fits one through points in the order of their x.
func FitLine(x, y []float64) Fit {
	n := len(x)
	f := Fit{Points: n}
	if n < 2 {
		return f
	}
	f.Intercept, f.Slope = leastSquares(x, y)
	f.Low, f.High = math.Inf(-1), math.Inf(1)
	if n > 2 {
		mean, residual, spread := stat.Mean(x, nil), 0., 0.
		for k := range x {
			residual += math.Pow(y[k]-f.Intercept-f.Slope*x[k], 2)
			spread += math.Pow(x[k]-mean, 2)
		}
		degrees := float64(n - 2)
		halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degrees}.Quantile(0.975) * math.Sqrt(residual/degrees/spread)
		f.Low, f.High = f.Slope-halfWidth, f.Slope+halfWidth
		intercept, slope := leastSquares(x[:n-1], y[:n-1])
		f.LargestX, f.Measured, f.Predicted = x[n-1], y[n-1], intercept+slope*x[n-1]
		if f.Measured != 0 {
			f.RelativeError = f.Predicted/f.Measured - 1
		}
	}
	return f
}
