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

var digests = sync.Pool{New: func() any { return new(digest) }}

// digest writes values down.
type digest struct {
	b    []byte
	seen []unsafe.Pointer // pointers, in the order they are met
}

var (
	hookType   = reflect.TypeFor[core.Hook]()
	configType = reflect.TypeFor[Config]()
	coreType   = reflect.TypeFor[core.Core]()
)

func (d *digest) number(n uint64) { d.b = binary.LittleEndian.AppendUint64(d.b, n) }

func (d *digest) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		n := byte(0)
		if v.Bool() {
			n = 1
		}
		d.b = append(d.b, n)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.number(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		d.number(v.Uint())
	case reflect.Float32, reflect.Float64:
		d.number(math.Float64bits(v.Float()))
	case reflect.String:
		d.number(uint64(v.Len()))
		d.b = append(d.b, v.String()...)
	case reflect.Pointer:
		d.pointer(v)
	case reflect.Interface:
		if v.IsNil() {
			d.b = append(d.b, 0)
			return
		}
		d.b = append(d.b, 1)
		d.b = append(d.b, v.Elem().Type().String()...)
		d.value(v.Elem())
	case reflect.Slice, reflect.Array:
		d.number(uint64(v.Len()))
		for i := range v.Len() {
			d.value(v.Index(i))
		}
	case reflect.Map:
		d.mapping(v)
	case reflect.Struct:
		t := v.Type()
		if t == hookType || t == configType {
			return
		}
		for i := range v.NumField() {
			if t == coreType && t.Field(i).Name == "effects" { // the last step's effects
				continue
			}
			d.value(v.Field(i))
		}
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
		if v.IsNil() {
			d.b = append(d.b, 0)
		} else {
			d.b = append(d.b, 1)
		}
	}
}

// pointer writes what is pointed to when it is met first, and where that was from then on.
func (d *digest) pointer(v reflect.Value) {
	if v.IsNil() {
		d.b = append(d.b, 0)
		return
	}
	p := v.UnsafePointer()
	if at := slices.Index(d.seen, p); at >= 0 {
		d.b = append(d.b, 1)
		d.number(uint64(at))
		return
	}
	d.seen = append(d.seen, p)
	d.b = append(d.b, 2)
	d.value(v.Elem())
}

// mapping writes a map in the order of its keys as they are written.
func (d *digest) mapping(v reflect.Value) {
	type pair struct {
		key []byte
		at  reflect.Value
	}
	pairs := make([]pair, 0, v.Len())
	start := len(d.b)
	for it := v.MapRange(); it.Next(); {
		d.value(it.Key())
		pairs = append(pairs, pair{slices.Clone(d.b[start:]), it.Value()})
		d.b = d.b[:start]
	}
	slices.SortFunc(pairs, func(a, b pair) int { return bytes.Compare(a.key, b.key) })
	d.number(uint64(len(pairs)))
	for _, p := range pairs {
		d.b = append(d.b, p.key...)
		d.value(p.at)
	}
}
