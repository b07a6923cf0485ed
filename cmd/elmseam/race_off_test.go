//go:build !race

package main

// raceDetector says whether the program under test keeps the race detector's records in its memory.
const raceDetector = false
