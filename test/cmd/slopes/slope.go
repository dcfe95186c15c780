package main

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Slope is a quantity measured at several sizes and the line through it.
type Slope struct {
	Key  string // what the design table calls it
	Role string
	What string
	Unit string
	Per  string // what the size counts
	X, Y []float64
	Log  bool    // the line is over the logarithm of the size
	A, B float64 // Y = A + B*X, or A + B*ln X, by least squares
	R2   float64
}

// measureAt measures at every size.
func measureAt(s Slope, sizes []int, measure func(n int) float64) Slope {
	for _, n := range sizes {
		s.X = append(s.X, float64(n))
		s.Y = append(s.Y, measure(n))
	}
	return s.fit()
}

func (s Slope) fit() Slope {
	x := make([]float64, len(s.X))
	for i, v := range s.X {
		x[i] = s.scale(v)
	}
	s.A, s.B = stat.LinearRegression(x, s.Y, nil, false)
	s.R2 = stat.RSquared(x, s.Y, nil, s.A, s.B)
	if slices.Max(s.Y) == slices.Min(s.Y) {
		s.R2 = 1 // all values lie on the line
	}
	return s
}

func (s Slope) scale(x float64) float64 {
	if s.Log {
		return math.Log(x)
	}
	return x
}

// At is the line's value at x.
func (s Slope) At(x float64) float64 { return s.A + s.B*s.scale(x) }

// line writes the line's formula.
func (s Slope) line() string {
	if s.Log {
		return number(s.A) + " + " + number(s.B) + "·ln n"
	}
	return number(s.A) + " + " + number(s.B) + "·n"
}

// bestOf returns the least of several timings of one call of f, per operation,
// in nanoseconds: the noise of a shared machine only ever adds.
func bestOf(times, ops int, f func()) float64 {
	best := 0.0
	for i := range times {
		at := time.Now()
		f()
		d := float64(time.Since(at)) / float64(ops)
		if i == 0 || d < best {
			best = d
		}
	}
	return best
}

// heap returns the bytes of live objects.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapOf returns the live bytes of what build returns.
func heapOf(build func() any) float64 {
	before := heap()
	v := build()
	after := heap()
	runtime.KeepAlive(v)
	return after - before
}

func slopeTable(all []Slope) string {
	var b strings.Builder
	b.WriteString("| role | what | unit | size | measured at | values | line | R² |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, s := range all {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %.3f |\n",
			s.Role, s.What, s.Unit, s.Per, join(s.X), join(s.Y), s.line(), s.R2)
	}
	return b.String()
}

func join(list []float64) string {
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = number(v)
	}
	return strings.Join(out, ", ")
}

// number writes three significant digits.
func number(v float64) string {
	switch abs := max(v, -v); {
	case abs >= 100:
		return fmt.Sprintf("%.0f", v)
	case v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	case abs >= 10:
		return fmt.Sprintf("%.1f", v)
	case abs >= 0.01 || abs == 0:
		return fmt.Sprintf("%.3g", v)
	default:
		return fmt.Sprintf("%.2e", v)
	}
}

// MarkerError says that the page lacks a pair of markers.
type MarkerError struct{ Name string }

// Error implements error.
func (e *MarkerError) Error() string { return "the page has no markers for " + e.Name }

// writePage replaces what stands between each pair of markers.
func writePage(file string, tables map[string]string) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for name, table := range tables {
		begin := []byte("<!-- " + name + ":begin -->\n")
		end := []byte("<!-- " + name + ":end -->")
		i, j := bytes.Index(page, begin), bytes.Index(page, end)
		if i < 0 || j < i {
			return &MarkerError{Name: name}
		}
		var next []byte
		next = append(next, page[:i+len(begin)]...)
		next = append(next, table...)
		next = append(next, page[j:]...)
		page = next
	}
	return os.WriteFile(file, page, 0o644)
}
