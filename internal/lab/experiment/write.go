package experiment

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"
)

// The files of a result.
const (
	resultFile  = "result.json"
	summaryFile = "summary.csv"
	seriesFile  = "series.csv"
	reportFile  = "report.html"
)

// Write writes the result as JSON, CSV and HTML into a directory, which is
// made if it does not exist.
func (r *Result) Write(directory string) error {
	const mode = 0o755
	if err := os.MkdirAll(directory, mode); err != nil {
		return eris.Wrap(err, "make the directory of the results")
	}
	for name, write := range map[string]func(io.Writer) error{
		resultFile:  r.writeJSON,
		summaryFile: r.writeSummary,
		seriesFile:  r.writeSeries,
		reportFile:  r.writeReport,
	} {
		if err := writeFile(filepath.Join(directory, name), write); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "make a file of results")
	}
	if err := write(file); err != nil {
		_ = file.Close() // the writing has failed already
		return eris.Wrapf(err, "write %s", path)
	}
	return eris.Wrapf(file.Close(), "close %s", path)
}

func (r *Result) writeJSON(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

var figureColumns = []string{
	"queries", "p50_ms", "p95_ms", "p99_ms", "p999_ms", "coverage", "served", "extra_load", "refused", "goodput", "whole",
}

func (f *Figures) cells() []string {
	cells := []string{strconv.Itoa(f.Queries)}
	for _, value := range []float64{
		f.P50, f.P95, f.P99, f.P999, f.Coverage, f.Served, f.ExtraLoad, f.Refused, f.Goodput, f.Whole,
	} {
		cells = append(cells, number(value))
	}
	return cells
}

func number(value float64) string {
	const digits = 6
	return strconv.FormatFloat(value, 'g', digits, 64)
}

// writeSummary writes one line a case, strategy and stretch of time or class.
func (r *Result) writeSummary(writer io.Writer) error {
	table := csv.NewWriter(writer)
	header := append([]string{"scenario", "rate", "strategy", "part"}, figureColumns...)
	if err := table.Write(header); err != nil {
		return err
	}
	for i := range r.Cases {
		for _, line := range r.Cases[i].summaryLines() {
			if err := table.Write(line); err != nil {
				return err
			}
		}
	}
	table.Flush()
	return table.Error()
}

func (c *Case) summaryLines() [][]string {
	var lines [][]string
	for i := range c.Outcomes {
		outcome := &c.Outcomes[i]
		line := func(part string, figures *Figures) {
			key := []string{c.Scenario, number(c.Rate), outcome.Strategy, part}
			lines = append(lines, append(key, figures.cells()...))
		}
		line("focus", &outcome.Focus)
		if c.faulty() {
			line("before", &outcome.Before)
			line("after", &outcome.After)
		}
		for number := range outcome.Classes {
			line("class "+outcome.Classes[number].Class, &outcome.Classes[number].Figures)
		}
	}
	return lines
}

// writeSeries writes one line a case, strategy and second.
func (r *Result) writeSeries(writer io.Writer) error {
	table := csv.NewWriter(writer)
	header := append([]string{"scenario", "rate", "strategy", "second", "back_end_arrivals"}, figureColumns...)
	if err := table.Write(header); err != nil {
		return err
	}
	for i := range r.Cases {
		measured := &r.Cases[i]
		for _, outcome := range measured.Outcomes {
			for _, point := range outcome.Series {
				key := []string{
					measured.Scenario, number(measured.Rate), outcome.Strategy,
					strconv.Itoa(point.Second), strconv.Itoa(point.Arrivals),
				}
				if err := table.Write(append(key, point.Figures.cells()...)); err != nil {
					return err
				}
			}
		}
	}
	table.Flush()
	return table.Error()
}
