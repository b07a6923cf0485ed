package lab

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// InjectedFault is a fault as it was made, for the table and the plots.
type InjectedFault struct {
	At     float64 `json:"at_s"`
	Kind   string  `json:"kind"`
	Detail string  `json:"what"`
}

// WritePlots draws two PNG pictures: attempts that reached each server a second, and the answers a second
// (served, refused, lost, excused), both with the faults marked as grey lines.
func (res *Result) WritePlots(loadPath, answersPath string) error {
	load := map[string]func(SecondStats) float64{}
	for _, s := range res.servers {
		load[s] = func(sec SecondStats) float64 { return float64(sec.Arrivals[s]) }
	}
	if err := res.plot(loadPath, "attempts reaching each server", "attempts a second", res.servers, load); err != nil {
		return err
	}
	kinds := []string{"served", "refused", "lost", "excused"}
	answers := map[string]func(SecondStats) float64{
		"served":  func(s SecondStats) float64 { return float64(s.Served) },
		"refused": func(s SecondStats) float64 { return float64(s.Refused) },
		"lost":    func(s SecondStats) float64 { return float64(s.Lost) },
		"excused": func(s SecondStats) float64 { return float64(s.Excused) },
	}
	return res.plot(answersPath, "answers", "set-ups a second", kinds, answers)
}

func (res *Result) plot(path, title, unit string, names []string, of map[string]func(SecondStats) float64) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s", res.Scenario, title)
	p.X.Label.Text = "second of the run"
	p.Y.Label.Text = unit
	top := 1.0
	for i, name := range names {
		pts := make(plotter.XYs, len(res.seconds))
		for k, s := range res.seconds {
			pts[k] = plotter.XY{X: float64(k) + 0.5, Y: of[name](s)}
			top = max(top, pts[k].Y)
		}
		l, err := plotter.NewLine(pts)
		if err != nil {
			return err
		}
		l.Color = plotutil.Color(i)
		l.Width = vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(name, l)
	}
	for _, m := range res.InjectedFaults {
		l, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: 0}, {X: m.At, Y: top}})
		if err != nil {
			return err
		}
		l.Color = color.Gray{Y: 150}
		l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(l)
	}
	p.Legend.Top = true
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}

// PlotGrowth draws how a figure grows with the size of a tier, a line for each name; the sizes on a logarithmic axis.
func PlotGrowth(path, title, unit string, names []string, of map[string][][2]float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "members"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	for i, name := range names {
		var pts plotter.XYs
		for _, xy := range of[name] {
			pts = append(pts, plotter.XY{X: xy[0], Y: xy[1]})
		}
		l, dots, err := plotter.NewLinePoints(pts)
		if err != nil {
			return err
		}
		l.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		l.Width = vg.Points(1.5)
		p.Add(l, dots)
		p.Legend.Add(name, l, dots)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
