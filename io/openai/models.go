package openai

import (
	"slices"

	"github.com/kataras/iris/v12"

	"ibiswinch/core/refusal"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelInfo(name string) modelInfo {
	return modelInfo{ID: name, Object: "model", OwnedBy: "ibiswinch"}
}

func (s *Server) listModels(ctx iris.Context) {
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, name := range s.cfg.Gateway.Models(teamOf(ctx)) {
		list.Data = append(list.Data, newModelInfo(name))
	}
	_ = ctx.JSON(list)
}

func (s *Server) getModel(ctx iris.Context) {
	name := ctx.Params().Get("model")
	if !slices.Contains(s.cfg.Gateway.Models(teamOf(ctx)), name) {
		s.writeError(ctx, refusal.New(refusal.UnknownModel, "the model %q does not exist or the team may not use it", name))
		return
	}
	_ = ctx.JSON(newModelInfo(name))
}
