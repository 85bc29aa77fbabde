package fault

import (
	"errors"
	"net/http"

	"fuchsiafold.example/netio/bound"
)

// ReadBody reads the body of a caller's request, of at most limit bytes.
func ReadBody(r *http.Request, limit int) ([]byte, *Fault) {
	if r.Body == nil {
		return nil, nil
	}
	b, err := bound.ReadAll(r.Body, r.ContentLength, limit)
	switch {
	case errors.Is(err, bound.ErrTooLarge):
		return nil, NotRun(http.StatusRequestEntityTooLarge, TooLarge, "the body exceeds the size limit")
	case err != nil:
		return nil, NotRun(http.StatusBadRequest, BadRequest, "the body can't be read: "+err.Error())
	}
	return b, nil
}
