package saddleslope

// point is a measured value at one size.
type point struct {
	size  float64
	value float64
}

// line is a least-squares line.
type line struct {
	slope     float64 // increase of the value per unit of size
	intercept float64 // value at size 0
}

// fitLine returns the least-squares line through points, which must contain at
// least two different sizes.
func fitLine(points []point) line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{slope: slope, intercept: (sy - slope*sx) / n}
}
