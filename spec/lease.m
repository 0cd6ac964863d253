-- The placement lease (gateway): one node at a time orders at the workers, although it may be frozen,
-- cut off or restarted at any moment, and although the store loses answers and does writes late.
--
-- Abstraction. Time is left out: an observer may try to take the lease over at any moment, so that
-- nothing rests on clocks. The store's version is the only counter. A write in flight is done at any
-- time if its condition holds, or never; whether its answer arrives is independent of that. An order in
-- flight reaches the worker at any time, or never. A frozen node is one that takes no step.
--
-- Bounds. 2 machines with 2 lives each, versions 1..4, one write and one order in flight for each
-- machine.
--
-- Actions: ReadLease, SendWrite, CommitWrite, LoseWrite, WriteAnswered, SendOrder, TakeOrder, LoseOrder,
-- OrderFenced, RestartNode.
--
-- Properties: TokensRiseInRow, OneHolderEachToken, HolderHasToken, TokensRiseAtWorker,
-- FencedTokenIsNotUsedAgain.

const
  MACHINES: 2;
  LIVES: 2;
  VERSIONS: 4;

  -- Each flag, when false, gives a variant that the checker must refute.
  COMPARE_VERSION: true;      -- a write is done only if the row still has the version that was read
  TOKEN_FROM_VERSION: true;   -- the token is the version of the write that acquired the lease
  WORKER_FENCE: true;         -- a worker refuses a token below the highest it has seen
  FENCED_IS_FINAL: true;      -- a node never orders again with a token that was refused
  LOST_IS_NOT_RENEWED: true;  -- a renewal's answer that comes after the lease was lost proves nothing

type
  machine: scalarset(MACHINES);
  life: 1..LIVES;
  version: 0..VERSIONS;

var
  -- The store: its counter and the lease row; version 0: there is no row.
  counter: version;
  row: record
    version: version;
    token: version;
    holder: machine;
    life: life;
  end;
  -- The nodes.
  nodes: array[machine] of record
    life: life;
    -- What was read last.
    known: boolean;
    seen: version;
    holding: boolean;
    token: version;
    fenced: version;
    -- A write, from its sending until its answer came or was given up.
    writing: boolean;
    flight: boolean;
    condition: version;
    written_token: version;
    done: version;
    -- An order in flight, and the refusal of one.
    ordering: boolean;
    order_token: version;
    refused: version;
  end;
  -- The worker.
  highest: version;
  accepted: version;
  -- For the properties.
  ordered: array[machine] of array[version] of boolean;
  refused_ever: array[machine] of array[version] of boolean;
  row_token_fell: boolean;
  worker_token_fell: boolean;
  fenced_used: boolean;

startstate
begin
  undefine row;
  counter := 0;
  row.version := 0;
  row.token := 0;
  for m: machine do
    row.holder := m;
    nodes[m].life := 1;
    nodes[m].known := false;
    nodes[m].seen := 0;
    nodes[m].holding := false;
    nodes[m].token := 0;
    nodes[m].fenced := 0;
    nodes[m].writing := false;
    nodes[m].flight := false;
    nodes[m].condition := 0;
    nodes[m].written_token := 0;
    nodes[m].done := 0;
    nodes[m].ordering := false;
    nodes[m].order_token := 0;
    nodes[m].refused := 0;
    for v: version do
      ordered[m][v] := false;
      refused_ever[m][v] := false;
    end;
  end;
  row.life := 1;
  highest := 0;
  accepted := 0;
  row_token_fell := false;
  worker_token_fell := false;
  fenced_used := false;
end;

ruleset m: machine do

  -- The row is read: it tells whether this process holds the lease, and with which token.
  rule "ReadLease"
    !nodes[m].writing
  ==>
  var mine: boolean;
  begin
    nodes[m].known := true;
    nodes[m].seen := row.version;
    mine := row.version != 0 & row.holder = m & row.life = nodes[m].life;
    if mine & (row.token > nodes[m].fenced | !FENCED_IS_FINAL) then
      nodes[m].holding := true;
      nodes[m].token := row.token;
    else
      nodes[m].holding := false;
      nodes[m].token := 0;
    end;
  end;

  -- An acquisition (token 0) or a renewal.
  rule "SendWrite"
    nodes[m].known & !nodes[m].writing & !nodes[m].flight
  ==>
  begin
    nodes[m].writing := true;
    nodes[m].flight := true;
    nodes[m].condition := nodes[m].seen;
    nodes[m].written_token := nodes[m].holding ? nodes[m].token : 0;
    nodes[m].done := 0;
  end;

  -- The store does the write, also long after the node gave its answer up.
  rule "CommitWrite"
    nodes[m].flight & counter < VERSIONS
  ==>
  var before: version;
  begin
    nodes[m].flight := false;
    if row.version = nodes[m].condition | !COMPARE_VERSION then
      before := row.token;
      counter := counter + 1;
      row.version := counter;
      row.holder := m;
      row.life := nodes[m].life;
      if nodes[m].written_token = 0 then
        row.token := TOKEN_FROM_VERSION ? counter : 1;
      else
        row.token := nodes[m].written_token;
      end;
      if row.token < before then
        row_token_fell := true;
      end;
      if nodes[m].writing then
        nodes[m].done := counter;
      end;
    end;
  end;

  rule "LoseWrite"
    nodes[m].flight
  ==>
  begin
    nodes[m].flight := false;
  end;

  -- The answer came, or the node gave it up: then the row is read before anything else.
  rule "WriteAnswered"
    nodes[m].writing & nodes[m].done != 0
  ==>
  begin
    nodes[m].writing := false;
    if nodes[m].written_token = 0 then
      nodes[m].token := TOKEN_FROM_VERSION ? nodes[m].done : 1;
      nodes[m].holding := true;
      nodes[m].seen := nodes[m].done;
    elsif nodes[m].holding | !LOST_IS_NOT_RENEWED then
      nodes[m].holding := true;
      nodes[m].seen := nodes[m].done;
    else
      nodes[m].known := false;
    end;
    nodes[m].done := 0;
  end;

  rule "WriteAnswered given up"
    nodes[m].writing
  ==>
  begin
    nodes[m].writing := false;
    nodes[m].known := false;
    nodes[m].done := 0;
  end;

  rule "SendOrder"
    nodes[m].holding & !nodes[m].ordering & nodes[m].refused = 0
  ==>
  begin
    nodes[m].ordering := true;
    nodes[m].order_token := nodes[m].token;
    ordered[m][nodes[m].token] := true;
    if refused_ever[m][nodes[m].token] then
      fenced_used := true;
    end;
  end;

  rule "TakeOrder"
    nodes[m].ordering
  ==>
  begin
    nodes[m].ordering := false;
    if nodes[m].order_token < highest & WORKER_FENCE then
      nodes[m].refused := nodes[m].order_token;
    else
      if nodes[m].order_token < accepted then
        worker_token_fell := true;
      end;
      accepted := nodes[m].order_token;
      if nodes[m].order_token > highest then
        highest := nodes[m].order_token;
      end;
    end;
  end;

  rule "LoseOrder"
    nodes[m].ordering
  ==>
  begin
    nodes[m].ordering := false;
  end;

  -- The refusal arrives: the lease is lost, and its token with it.
  rule "OrderFenced"
    nodes[m].refused != 0
  ==>
  begin
    refused_ever[m][nodes[m].refused] := true;
    if nodes[m].refused > nodes[m].fenced then
      nodes[m].fenced := nodes[m].refused;
    end;
    if nodes[m].holding & nodes[m].token = nodes[m].refused then
      if FENCED_IS_FINAL then
        nodes[m].holding := false;
        nodes[m].token := 0;
      end;
      nodes[m].known := false;
    end;
    nodes[m].refused := 0;
  end;

  -- A write of the former life may still be under way; nothing else is left of it.
  rule "RestartNode"
    nodes[m].life < LIVES & nodes[m].refused = 0
  ==>
  begin
    nodes[m].life := nodes[m].life + 1;
    nodes[m].known := false;
    nodes[m].seen := 0;
    nodes[m].holding := false;
    nodes[m].token := 0;
    nodes[m].fenced := 0;
    nodes[m].writing := false;
    nodes[m].flight := false;
    nodes[m].done := 0;
    nodes[m].ordering := false;
  end;

end;

invariant "TokensRiseInRow"
  !row_token_fell;

invariant "OneHolderEachToken"
  forall m: machine do
    forall n: machine do
      m = n | forall v: version do !(ordered[m][v] & ordered[n][v]) end
    end
  end;

invariant "HolderHasToken"
  forall m: machine do nodes[m].holding -> nodes[m].token != 0 end;

invariant "TokensRiseAtWorker"
  !worker_token_fell;

invariant "FencedTokenIsNotUsedAgain"
  !fenced_used;
