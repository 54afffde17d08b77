package experiment

import (
	_ "embed"
	"html/template"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

//go:embed report.html.tmpl
var reportText string

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(value float64) string { return strconv.FormatFloat(100*value, 'f', 2, 64) + "%" },
	"one":     func(value float64) string { return strconv.FormatFloat(value, 'f', 1, 64) },
	"goal":    func(value float64) string { return strconv.FormatFloat(value, 'g', 4, 64) },
}).Parse(reportText))

// report is what the template shows.
type report struct {
	*Result
	Sections []section
}

// section is one case with its plots.
type section struct {
	*Case
	Faulty bool
	Plots  []template.HTML
}

// writeReport writes one HTML file that needs no other.
func (r *Result) writeReport(writer io.Writer) error {
	shown := report{Result: r}
	for i := range r.Cases {
		part := section{Case: &r.Cases[i], Faulty: r.Cases[i].faulty()}
		for _, measure := range measures {
			drawn, err := part.drawPlot(measure)
			if err != nil {
				return err
			}
			part.Plots = append(part.Plots, template.HTML(drawn)) // made above, from numbers and checked names
		}
		shown.Sections = append(shown.Sections, part)
	}
	return eris.Wrap(reportTemplate.Execute(writer, shown), "fill in the report")
}
