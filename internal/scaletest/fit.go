// This file fits a line to points by least squares, gives the confidence interval of its slope, and checks
// whether a line through the other points predicts the largest one.

package scaletest

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Fit is a line y = Intercept + Slope x. The slope's interval is the 95% confidence interval by Student's
// t-distribution; with two points it is infinite.
type Fit struct {
	Points    int     `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Low       float64 `json:"low"` // the interval of the slope
	High      float64 `json:"high"`
	// The largest point, as measured and as predicted by a line through the other points.
	LargestX      float64 `json:"largest"`
	Predicted     float64 `json:"predicted"`
	Measured      float64 `json:"measured"`
	RelativeError float64 `json:"off"` // of the prediction, as a share of the measured value
}

// maxRelativeError is the largest error of the prediction with which the points count as linear.
const maxRelativeError = 0.15

// IsLinear tells whether the prediction of the largest point is close enough to extrapolate with the slope.
func (f Fit) IsLinear() bool { return f.Points >= 3 && math.Abs(f.RelativeError) <= maxRelativeError }

// leastSquares returns the line by least squares. A falling line is replaced by a flat one, because no cost
// here falls as the size grows.
func leastSquares(x, y []float64) (intercept, slope float64) {
	if intercept, slope = stat.LinearRegression(x, y, nil, false); slope < 0 {
		return stat.Mean(y, nil), 0
	}
	return intercept, slope
}

// FitLine fits a line to points that are sorted by x.
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
