package experiment

import (
	"image/color"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a plot.
const (
	plotWidth  = 480
	plotHeight = 260
	lineWidth  = 1.4
)

// lineColours tell the strategies apart, also for the colour-blind (Okabe and
// Ito, 2008).
var lineColours = []color.RGBA{
	{0, 114, 178, 255}, {230, 159, 0, 255}, {213, 94, 0, 255}, {0, 158, 115, 255},
	{204, 121, 167, 255}, {86, 180, 233, 255}, {0, 0, 0, 255},
}

// faultColour shades the time of the faults.
var faultColour = color.NRGBA{120, 120, 120, 50}

// measure is what one plot shows.
type measure struct {
	title string
	axis  string
	value func(*Point) float64
	// logarithmic axes tell latencies of a few and of many times the usual
	// apart.
	logarithmic bool
}

// leastPlotted is the lower end of a logarithmic axis.
const leastPlotted = 1

func (m *measure) plotted(point *Point) float64 {
	if m.logarithmic {
		return max(leastPlotted, m.value(point))
	}
	return m.value(point)
}

var measures = []measure{
	{"Median latency", "ms", func(p *Point) float64 { return p.Figures.P50 }, true},
	{"99th percentile of latency", "ms", func(p *Point) float64 { return p.Figures.P99 }, true},
	{"Coverage of answers", "share", func(p *Point) float64 { return p.Figures.Coverage }, false},
	{"Extra load", "share", func(p *Point) float64 { return p.Figures.ExtraLoad }, false},
	{"Whole answers", "a second", func(p *Point) float64 { return p.Figures.Goodput }, false},
	{"Sub-requests at the back ends", "a second", func(p *Point) float64 { return float64(p.Arrivals) }, false},
}

// drawPlot returns one measure over time as an SVG element.
func (c *Case) drawPlot(shown measure) (string, error) {
	chart := plot.New()
	chart.Title.Text = shown.title
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = shown.axis
	chart.Legend.Top = true
	chart.Add(plotter.NewGrid())
	if err := c.addLines(chart, shown); err != nil {
		return "", err
	}
	if c.faulty() {
		if err := c.addFault(chart); err != nil {
			return "", err
		}
	}
	canvas := vgsvg.New(vg.Points(plotWidth), vg.Points(plotHeight))
	chart.Draw(draw.New(canvas))
	text := &strings.Builder{}
	if _, err := canvas.WriteTo(text); err != nil {
		return "", eris.Wrap(err, "write a plot")
	}
	return elementOf(text.String()), nil
}

// addLines also fits the vertical axis to the lines.
func (c *Case) addLines(chart *plot.Plot, shown measure) error {
	for i := range c.Outcomes {
		outcome := &c.Outcomes[i]
		points := make(plotter.XYs, len(outcome.Series))
		for second := range outcome.Series {
			points[second] = plotter.XY{X: float64(second), Y: shown.plotted(&outcome.Series[second])}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "draw a line")
		}
		line.Color = lineColours[i%len(lineColours)]
		line.Width = vg.Points(lineWidth)
		chart.Add(line)
		chart.Legend.Add(outcome.Strategy, line)
	}
	// Room above the lines for the legend.
	const (
		legendRoom            = 1.45
		legendRoomLogarithmic = 8
	)
	chart.Y.Min = 0
	if !shown.logarithmic {
		chart.Y.Max *= legendRoom
	} else {
		chart.Y.Min = leastPlotted
		chart.Y.Max *= legendRoomLogarithmic
		chart.Y.Scale = plot.LogScale{}
		chart.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	return nil
}

func (c *Case) addFault(chart *plot.Plot) error {
	corners := plotter.XYs{
		{X: c.FaultFrom, Y: chart.Y.Min}, {X: c.FaultTo, Y: chart.Y.Min},
		{X: c.FaultTo, Y: chart.Y.Max}, {X: c.FaultFrom, Y: chart.Y.Max},
	}
	area, err := plotter.NewPolygon(corners)
	if err != nil {
		return eris.Wrap(err, "shade the fault")
	}
	area.Color = faultColour
	area.LineStyle.Width = 0
	chart.Add(area)
	chart.Legend.Add("fault", area)
	return nil
}

// elementOf leaves out the XML declaration, which has no place inside HTML.
func elementOf(document string) string {
	start := strings.Index(document, "<svg")
	if start < 0 {
		return document
	}
	return document[start:]
}
