package saddleslope

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// series is one quantity at several sizes.
type series struct {
	quantity string
	unit     string // unit of the values
	sizeUnit string // what the sizes count
	points   []point
}

// report collects the series of a run in the order of their first points.
type report struct {
	series []*series
}

// add adds a value to the series of a quantity, which it creates if necessary.
// sizeUnit is what size counts.
func (r *report) add(quantity, unit, sizeUnit string, size int, value float64) {
	for _, s := range r.series {
		if s.quantity == quantity {
			s.points = append(s.points, point{size: float64(size), value: value})
			return
		}
	}
	r.series = append(r.series, &series{quantity: quantity, unit: unit, sizeUnit: sizeUnit, points: []point{{size: float64(size), value: value}}})
}

func (r *report) write(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "QUANTITY\tSLOPE\tUNIT\tAT 0\tSIZES: VALUES")
	for _, s := range r.series {
		l := fitLine(s.points)
		_, _ = fmt.Fprintf(tw, "%s\t%.4g\t%s / %s\t%.4g\t", s.quantity, l.slope, s.unit, s.sizeUnit, l.intercept)
		for _, p := range s.points {
			_, _ = fmt.Fprintf(tw, "%.0f: %.4g  ", p.size, p.value)
		}
		_, _ = fmt.Fprintln(tw)
	}
	_ = tw.Flush()
}
