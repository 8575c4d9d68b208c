package saddlereport

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table holds the results of one run. Each row has one cell per column.
type Table struct {
	Name     string
	Settings string // seed and settings of the run, as printed
	Columns  []string
	rows     [][]string
}

// Add adds a row with one cell per column.
func (t *Table) Add(cells ...string) { t.rows = append(t.rows, cells) }

// jsonRow is one row in the JSON output.
type jsonRow struct {
	Run      string            `json:"run"`
	Settings string            `json:"settings"`
	Figures  map[string]string `json:"figures"`
}

// Write writes the table as text, or as one JSON object per row.
func (t *Table) Write(w io.Writer, asJSON bool) error {
	if asJSON {
		return t.writeJSON(w)
	}
	if _, err := fmt.Fprintf(w, "%s: %s\n", t.Name, t.Settings); err != nil {
		return err
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, strings.Join(t.Columns, "\t"))
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

func (t *Table) writeJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, row := range t.rows {
		record := jsonRow{Run: t.Name, Settings: t.Settings, Figures: map[string]string{}}
		for i, cell := range row {
			record.Figures[t.Columns[i]] = cell
		}
		if err := encoder.Encode(record); err != nil {
			return err
		}
	}
	return nil
}
