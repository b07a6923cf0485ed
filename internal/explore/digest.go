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

// digestPool holds encoders for reuse.
var digestPool = sync.Pool{New: func() any { return new(encoder) }}

// encoder appends a canonical encoding of values to a buffer. Fields of structs are encoded in declared order, so the
// order of fields is part of the encoding.
type encoder struct {
	buf     []byte
	visited []unsafe.Pointer // pointers in the order in which they were first encoded
}

// Types that appendValue encodes partly or not at all.
var (
	hookType   = reflect.TypeFor[core.Hook]()
	configType = reflect.TypeFor[Config]()
	coreType   = reflect.TypeFor[core.Core]()
)

// appendUint64 appends n in little-endian order.
func (d *encoder) appendUint64(n uint64) { d.buf = binary.LittleEndian.AppendUint64(d.buf, n) }

// appendValue appends the encoding of a value. Hooks and configurations, which no action changes, are left out.
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
			if t == coreType && t.Field(i).Name == "effects" { // buffer of the last step's effects, which is not part of the state
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

// appendPointer appends the value that v points to when the pointer is first encountered, and its position in d.visited after
// that.
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

// appendMap appends a map sorted by the encoding of its keys.
func (d *encoder) appendMap(v reflect.Value) {
	type pair struct {
		key   []byte
		value reflect.Value
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
		d.appendValue(p.value)
	}
}
