package capacity

import (
	"bytes"
	"fmt"
	"slices"
)

const plotMode = 0o644

// The size of a plot in points, and the room around its axes.
const (
	plotWidth  = 640
	plotHeight = 400
	plotLeft   = 60
	plotRight  = 20
	plotTop    = 30
	plotBottom = 50
	plotTicks  = 5
)

var plotColours = []string{"#1b6ca8", "#c4501b", "#3a7d44", "#6b4c9a"}

// plot shows the medians of some figures against the number of endpoints, with
// their ranges as bars.
type plot struct {
	file, title, unit string
	figures           []string
}

// axes maps values to points.
type axes struct{ maxX, maxY float64 }

func (a axes) x(value float64) float64 {
	return plotLeft + value/a.maxX*(plotWidth-plotLeft-plotRight)
}

func (a axes) y(value float64) float64 {
	return plotHeight - plotBottom - value/a.maxY*(plotHeight-plotTop-plotBottom)
}

func (p plot) draw(r Report) []byte {
	scale := p.scale(r)
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	_, _ = fmt.Fprintf(&out, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="18">%s, %s, median and range of %d rounds</text>`+"\n", plotLeft, p.title, p.unit, r.Rounds)
	p.drawAxes(&out, scale)
	for index, name := range p.figures {
		p.drawFigure(&out, r, scale, name, plotColours[index%len(plotColours)])
		_, _ = fmt.Fprintf(&out, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotLeft+10, plotTop+16*(index+1), plotColours[index%len(plotColours)], name)
	}
	out.WriteString("</svg>\n")
	return out.Bytes()
}

func (p plot) scale(r Report) axes {
	scale := axes{maxX: 1, maxY: 1e-9}
	for _, size := range r.Sizes {
		scale.maxX = max(scale.maxX, float64(size.Endpoints))
		for name, figure := range size.Figures {
			if slices.Contains(p.figures, name) {
				scale.maxY = max(scale.maxY, figure.Max)
			}
		}
	}
	// Room for the legend.
	scale.maxY *= 1.3
	return scale
}

func (p plot) drawAxes(out *bytes.Buffer, scale axes) {
	for tick := range plotTicks + 1 {
		share := float64(tick) / plotTicks
		x, y := scale.x(share*scale.maxX), scale.y(share*scale.maxY)
		_, _ = fmt.Fprintf(out, `<path d="M%d %.1fH%d" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.3g</text>`+"\n",
			plotLeft, y, plotWidth-plotRight, plotLeft-6, y+4, share*scale.maxY)
		_, _ = fmt.Fprintf(out, `<text x="%.1f" y="%d" text-anchor="middle">%.0f</text>`+"\n", x, plotHeight-plotBottom+18, share*scale.maxX)
	}
	_, _ = fmt.Fprintf(out, `<text x="%d" y="%d" text-anchor="middle">endpoints</text>`+"\n", plotWidth/2, plotHeight-10)
}

func (p plot) drawFigure(out *bytes.Buffer, r Report, scale axes, name, colour string) {
	path := ""
	for index, size := range r.Sizes {
		figure := size.Figures[name]
		x := scale.x(float64(size.Endpoints))
		command := "L"
		if index == 0 {
			command = "M"
		}
		path += fmt.Sprintf("%s%.1f %.1f", command, x, scale.y(figure.Median))
		_, _ = fmt.Fprintf(out, `<path d="M%.1f %.1fV%.1f" stroke="%s"/><circle cx="%.1f" cy="%.1f" r="3" fill="%s"/>`+"\n",
			x, scale.y(figure.Min), scale.y(figure.Max), colour, x, scale.y(figure.Median), colour)
	}
	_, _ = fmt.Fprintf(out, `<path d="%s" fill="none" stroke="%s"/>`+"\n", path, colour)
}
