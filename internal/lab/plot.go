package lab

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// InjectedFault is an action of a fault that the lab injected, its start or its end, for the verdict and the plots.
type InjectedFault struct {
	At     float64 `json:"at_s"` // seconds since the start of the run
	Kind   string  `json:"kind"`
	Detail string  `json:"what"` // the fault's targets, groups and server
}

// WritePlots draws two PNG pictures: the attempts a second that reached each server, and the outcomes of set-ups a
// second (served, refused, lost, excused). Both show the start and the end of the injected faults
// as dashed grey lines.
func (res *Result) WritePlots(loadPath, answersPath string) error {
	load := map[string]func(SecondStats) float64{}
	for _, s := range res.serverNames {
		load[s] = func(sec SecondStats) float64 { return float64(sec.Arrivals[s]) }
	}
	if err := res.plotLines(loadPath, "attempts reaching each server", "attempts a second", res.serverNames, load); err != nil {
		return err
	}
	kinds := []string{"served", "refused", "lost", "excused"}
	answers := map[string]func(SecondStats) float64{
		"served":  func(s SecondStats) float64 { return float64(s.Served) },
		"refused": func(s SecondStats) float64 { return float64(s.Refused) },
		"lost":    func(s SecondStats) float64 { return float64(s.Lost) },
		"excused": func(s SecondStats) float64 { return float64(s.Excused) },
	}
	return res.plotLines(answersPath, "answers", "set-ups a second", kinds, answers)
}

// plotLines draws a line over the seconds of the run for each name; values returns a line's value for a second.
func (res *Result) plotLines(path, title, yLabel string, names []string, values map[string]func(SecondStats) float64) error {
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("%s: %s", res.Scenario, title)
	chart.X.Label.Text = "second of the run"
	chart.Y.Label.Text = yLabel
	maxY := 1.0
	for i, name := range names {
		points := make(plotter.XYs, len(res.seconds))
		for second, s := range res.seconds {
			points[second] = plotter.XY{X: float64(second) + 0.5, Y: values[name](s)}
			maxY = max(maxY, points[second].Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		chart.Add(line)
		chart.Legend.Add(name, line)
	}
	for _, fault := range res.InjectedFaults {
		line, err := plotter.NewLine(plotter.XYs{{X: fault.At, Y: 0}, {X: fault.At, Y: maxY}})
		if err != nil {
			return err
		}
		line.Color = color.Gray{Y: 150}
		line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		chart.Add(line)
	}
	chart.Legend.Top = true
	return chart.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}

// PlotGrowth draws how a value grows with the size of a tier, with a line for each name. The axis of the sizes is
// logarithmic; values has pairs of size and value.
func PlotGrowth(path, title, yLabel string, names []string, values map[string][][2]float64) error {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = "members"
	chart.Y.Label.Text = yLabel
	chart.Y.Min = 0
	chart.X.Scale = plot.LogScale{}
	chart.X.Tick.Marker = plot.LogTicks{Prec: -1}
	for i, name := range names {
		var points plotter.XYs
		for _, xy := range values[name] {
			points = append(points, plotter.XY{X: xy[0], Y: xy[1]})
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		line.Width = vg.Points(1.5)
		chart.Add(line, dots)
		chart.Legend.Add(name, line, dots)
	}
	chart.Legend.Top, chart.Legend.Left = true, true
	return chart.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
