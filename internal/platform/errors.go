package platform

import "errors"

// errIncomplete is returned by parseFrame when the rest of the message has yet to be read.
var errIncomplete = errors.New("incomplete message")

// errCallerStalled means that a connection can't be transferred because the messages queued for the caller were not written.
var errCallerStalled = errors.New("caller does not read")

// errJSON is the error for a line that is not valid JSON, or that holds a value of the wrong type or form.
var errJSON = errors.New("malformed JSON")
