package explore

import (
	"bytes"
	"encoding/binary"
	"math"
	"reflect"
	"slices"
	"sync"
	"unsafe"

	"elmseam/internal/core"
)

var digestPool = sync.Pool{New: func() any { return new(encoder) }}

// digest writes values down.
type encoder struct {
	buf     []byte
	visited []unsafe.Pointer // pointers, in the order they are met
}

var (
	hookType   = reflect.TypeFor[core.Hook]()
	configType = reflect.TypeFor[Config]()
	coreType   = reflect.TypeFor[core.Core]()
)

func (d *encoder) appendUint64(n uint64) { d.buf = binary.LittleEndian.AppendUint64(d.buf, n) }

func (d *encoder) appendValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		n := byte(0)
		if v.Bool() {
			n = 1
		}
		d.buf = append(d.buf, n)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.appendUint64(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		d.appendUint64(v.Uint())
	case reflect.Float32, reflect.Float64:
		d.appendUint64(math.Float64bits(v.Float()))
	case reflect.String:
		d.appendUint64(uint64(v.Len()))
		d.buf = append(d.buf, v.String()...)
	case reflect.Pointer:
		d.appendPointer(v)
	case reflect.Interface:
		if v.IsNil() {
			d.buf = append(d.buf, 0)
			return
		}
		d.buf = append(d.buf, 1)
		d.buf = append(d.buf, v.Elem().Type().String()...)
		d.appendValue(v.Elem())
	case reflect.Slice, reflect.Array:
		d.appendUint64(uint64(v.Len()))
		for i := range v.Len() {
			d.appendValue(v.Index(i))
		}
	case reflect.Map:
		d.appendMap(v)
	case reflect.Struct:
		t := v.Type()
		if t == hookType || t == configType {
			return
		}
		for i := range v.NumField() {
			if t == coreType && t.Field(i).Name == "out" { // the last step's effects
				continue
			}
			d.appendValue(v.Field(i))
		}
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
		if v.IsNil() {
			d.buf = append(d.buf, 0)
		} else {
			d.buf = append(d.buf, 1)
		}
	}
}

// pointer writes what is pointed to when it is met first, and where that was from then on.
func (d *encoder) appendPointer(v reflect.Value) {
	if v.IsNil() {
		d.buf = append(d.buf, 0)
		return
	}
	p := v.UnsafePointer()
	if index := slices.Index(d.visited, p); index >= 0 {
		d.buf = append(d.buf, 1)
		d.appendUint64(uint64(index))
		return
	}
	d.visited = append(d.visited, p)
	d.buf = append(d.buf, 2)
	d.appendValue(v.Elem())
}

// mapping writes a map in the order of its keys as they are written.
func (d *encoder) appendMap(v reflect.Value) {
	type pair struct {
		key []byte
		at  reflect.Value
	}
	pairs := make([]pair, 0, v.Len())
	start := len(d.buf)
	for it := v.MapRange(); it.Next(); {
		d.appendValue(it.Key())
		pairs = append(pairs, pair{slices.Clone(d.buf[start:]), it.Value()})
		d.buf = d.buf[:start]
	}
	slices.SortFunc(pairs, func(a, b pair) int { return bytes.Compare(a.key, b.key) })
	d.appendUint64(uint64(len(pairs)))
	for _, p := range pairs {
		d.buf = append(d.buf, p.key...)
		d.appendValue(p.at)
	}
}
