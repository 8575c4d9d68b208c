package saddleslope

// point is one quantity at one size.
type point struct {
	size  float64
	value float64
}

// line is a least-squares line.
type line struct {
	slope     float64 // of one unit of size
	intercept float64 // at size 0
}

// fit returns the line through points of at least two sizes.
func fit(points []point) line {
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
