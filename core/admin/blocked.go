package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/conf"
	"embertally.dev/core/poison"
)

// blocked lists the requests that are given to no target, since targets end of them.
func (s *Server) blocked(c echo.Context) error {
	body := struct {
		Blocked []poison.BlockedRequest `json:"blocked"`
	}{s.o.Poison.List()}
	return c.JSON(http.StatusOK, body)
}

// release lets a blocked request go, in all daemons.
func (s *Server) release(c echo.Context) error {
	f, ok := poison.Parse(c.Param("asks"))
	if !ok {
		return refuse(c, invalid("asks", "must be a fingerprint, 32 hexadecimal digits"))
	}
	if !s.o.Poison.Release(f, "an operator released it") {
		return refuse(c, &conf.Rejection{Code: conf.CodeNotFound, Text: "no request of this fingerprint is blocked"})
	}
	return c.JSON(http.StatusOK, struct {
		Released string `json:"released"`
	}{f.String()})
}
