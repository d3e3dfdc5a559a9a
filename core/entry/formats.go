package entry

// completionFormat is the response format of the completions API.
type completionFormat struct{}

type completionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

func finishOf(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

func (completionFormat) chunk(id, model, text, finish string, _ bool) any {
	return completion{
		ID: id, Object: "text_completion", Model: model,
		Choices: []completionChoice{{Text: text, FinishReason: finishOf(finish)}},
	}
}

func (completionFormat) full(id, model, text, finish string, u usage) any {
	return completion{
		ID: id, Object: "text_completion", Model: model, Usage: &u,
		Choices: []completionChoice{{Text: text, FinishReason: finishOf(finish)}},
	}
}

// chatFormat is the response format of the chat completions API.
type chatFormat struct{}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index        int        `json:"index"`
	Delta        *chatDelta `json:"delta,omitempty"`
	Message      *chatDelta `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type chatBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}

func (chatFormat) chunk(id, model, text, finish string, first bool) any {
	d := &chatDelta{Content: text}
	if first {
		d.Role = "assistant"
	}
	return chatBody{
		ID: id, Object: "chat.completion.chunk", Model: model,
		Choices: []chatChoice{{Delta: d, FinishReason: finishOf(finish)}},
	}
}

func (chatFormat) full(id, model, text, finish string, u usage) any {
	m := &chatDelta{Role: "assistant", Content: text}
	return chatBody{
		ID: id, Object: "chat.completion", Model: model, Usage: &u,
		Choices: []chatChoice{{Message: m, FinishReason: finishOf(finish)}},
	}
}
