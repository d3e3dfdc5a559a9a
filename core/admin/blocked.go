package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/conf"
	"embertally.dev/core/poison"
)

// listBlocked returns the requests that are sent to no target because targets crash
// under them.
func (s *Server) listBlocked(c echo.Context) error {
	body := struct {
		Blocked []poison.BlockedRequest `json:"blocked"`
	}{s.o.Poison.List()}
	return c.JSON(http.StatusOK, body)
}

// releaseBlocked unblocks a request in all daemons.
func (s *Server) releaseBlocked(c echo.Context) error {
	digest, ok := poison.ParseDigest(c.Param("asks"))
	if !ok {
		return writeRejection(c, invalidField("asks", "must be a fingerprint, 32 hexadecimal digits"))
	}
	if !s.o.Poison.Release(digest, "an operator released it") {
		return writeRejection(c, &conf.Rejection{Code: conf.CodeNotFound, Text: "no request of this fingerprint is blocked"})
	}
	return c.JSON(http.StatusOK, struct {
		Released string `json:"released"`
	}{digest.String()})
}
