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
func (d *encoder) appendValue(value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool:
		n := byte(0)
		if value.Bool() {
			n = 1
		}
		d.buf = append(d.buf, n)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.appendUint64(uint64(value.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		d.appendUint64(value.Uint())
	case reflect.Float32, reflect.Float64:
		d.appendUint64(math.Float64bits(value.Float()))
	case reflect.String:
		d.appendUint64(uint64(value.Len()))
		d.buf = append(d.buf, value.String()...)
	case reflect.Pointer:
		d.appendPointer(value)
	case reflect.Interface:
		if value.IsNil() {
			d.buf = append(d.buf, 0)
			return
		}
		d.buf = append(d.buf, 1)
		d.buf = append(d.buf, value.Elem().Type().String()...)
		d.appendValue(value.Elem())
	case reflect.Slice, reflect.Array:
		d.appendUint64(uint64(value.Len()))
		for i := range value.Len() {
			d.appendValue(value.Index(i))
		}
	case reflect.Map:
		d.appendMap(value)
	case reflect.Struct:
		structType := value.Type()
		if structType == hookType || structType == configType {
			return
		}
		for i := range value.NumField() {
			if structType == coreType && structType.Field(i).Name == "effects" { // buffer of the last step's effects, which is not part of the state
				continue
			}
			d.appendValue(value.Field(i))
		}
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
		if value.IsNil() {
			d.buf = append(d.buf, 0)
		} else {
			d.buf = append(d.buf, 1)
		}
	}
}

// appendPointer appends the value that a pointer points to when the pointer is first encountered, and its position in
// d.visited after that.
func (d *encoder) appendPointer(pointer reflect.Value) {
	if pointer.IsNil() {
		d.buf = append(d.buf, 0)
		return
	}
	target := pointer.UnsafePointer()
	if index := slices.Index(d.visited, target); index >= 0 {
		d.buf = append(d.buf, 1)
		d.appendUint64(uint64(index))
		return
	}
	d.visited = append(d.visited, target)
	d.buf = append(d.buf, 2)
	d.appendValue(pointer.Elem())
}

// appendMap appends a map sorted by the encoding of its keys.
func (d *encoder) appendMap(value reflect.Value) {
	type pair struct {
		key   []byte
		value reflect.Value
	}
	pairs := make([]pair, 0, value.Len())
	start := len(d.buf)
	for it := value.MapRange(); it.Next(); {
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
