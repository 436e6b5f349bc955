package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.vertx.core.http.HttpServerRequest;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.standin.StandIns;

/** Tests of a whole gatherer with a scripted decision policy. */
public class GathererNodeTest extends GathererTestBed {
    @Test
    public void queryIsAnsweredThroughTheWholeGatherer() throws Exception {
        var lines = new ArrayList<String>();
        // The scripted policy sends every part and answers once one is completed.
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var commands = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.PartReceived part) {
                                    commands.add(new Command.SendAttempt(part.id(), "a", 5000));
                                } else if (event instanceof Event.AttemptEnded) {
                                    commands.add(new Command.AnswerQuery("rehearsal-0", true));
                                }
                            }
                            return commands;
                        };
        assertTrue(
                SmokeTest.run(config(NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS), factory, lines::add));
        assertEquals(
                lines,
                List.of(
                        "q: 200 {\"finished\":true,\"found\":[{\"bucket\":0,\"item\":\"0:c41e77d0\"}]}"));
    }

    /**
     * The list that discovery's agent has counts as received by the gatherer as soon as its process
     * has started, even before the gatherer has requested the list. So no new attempt may be sent
     * to a server that is draining in the agent's list, even if the server is running in the older
     * list in the configuration.
     */
    @Test
    public void gathererListensOnlyOnceDiscoveryHasAnswered() throws Exception {
        var calls = new LinkedBlockingQueue<HttpServerRequest>();
        var lists = new LinkedBlockingQueue<Event.EndpointsUpdated>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            events.stream()
                                    .filter(Event.EndpointsUpdated.class::isInstance)
                                    .forEach(list -> lists.add((Event.EndpointsUpdated) list));
                            return List.of();
                        };
        int unusedPort;
        try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unusedPort = socket.getLocalPort();
        }
        StartingNode starting =
                startAsync(
                        configWithDiscovery(calls, new NodeConfig.Address("127.0.0.1", unusedPort)),
                        factory,
                        List.of());
        HttpServerRequest call = calls.poll(10, TimeUnit.SECONDS);
        assertEquals(call.uri(), "/discovery/hosts");
        assertThrows(
                ConnectException.class,
                () -> new Socket(InetAddress.getLoopbackAddress(), unusedPort).close());
        assertTrue(lists.isEmpty());
        call.response()
                .end(
                        "{\"index\":9,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"address\":\"127.0.0.1:8100\","
                                + "\"group\":0,\"status\":\"leaving\"}]}");
        assertTrue(await(starting.start()).ready());
        Event.EndpointsUpdated list = lists.poll(10, TimeUnit.SECONDS);
        assertEquals(list.endpoints().get(0).state(), Endpoint.State.DRAINING);
        assertTrue(lists.isEmpty());
    }

    @Test
    public void idleClientsLeaveDescriptorsForDiscoveryShardServersAndQueries() throws Exception {
        var calls = new LinkedBlockingQueue<HttpServerRequest>();
        var lists = new LinkedBlockingQueue<Event.EndpointsUpdated>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var commands = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.EndpointsUpdated list) {
                                    lists.add(list);
                                } else if (event instanceof Event.PartReceived part) {
                                    commands.add(new Command.SendAttempt(part.id(), "a", 5000));
                                } else if (event instanceof Event.AttemptEnded ended) {
                                    commands.add(
                                            new Command.AnswerQuery(
                                                    ended.partId().split("\\.", -1)[0], true));
                                }
                            }
                            return commands;
                        };
        int discovery =
                await(vertx.createHttpServer().requestHandler(calls::add).listen(0, "127.0.0.1"))
                        .actualPort();
        int server = await(StandIns.startShardServerOnFreePort(vertx, "127.0.0.1"));
        NodeConfig base =
                config(
                        NODE_FIELDS,
                        SETTINGS,
                        KNOWN_ENDPOINTS.replace("8100", String.valueOf(server)));
        // Discovery doesn't answer: the list is the one in the configuration.
        GathererNode node =
                await(
                        startAsync(
                                        new NodeConfig(
                                                "n",
                                                base.listen(),
                                                new NodeConfig.Address("127.0.0.1", discovery),
                                                5,
                                                40,
                                                base.knownEndpoints(),
                                                base.settings()),
                                        factory,
                                        List.of())
                                .start());
        var idle = new ArrayList<Socket>();
        for (int i = 0; i < 200; i++) {
            idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        for (String id : List.of("s", "t")) {
            Socket queryConnection = sendQuery(port, id);
            assertEquals(
                    queryConnection.getInputStream().readNBytes(12),
                    "HTTP/1.1 200".getBytes(StandardCharsets.US_ASCII));
            queryConnection.close();
        }
        lists.clear();
        Event.EndpointsUpdated list = null;
        while (list == null) {
            // The earliest calls may have timed out by now; a call that is still open is answered.
            calls.poll(10, TimeUnit.SECONDS)
                    .response()
                    .end("{\"index\":9,\"snapshot\":true,\"endpoints\":[]}");
            list = lists.poll(1, TimeUnit.SECONDS);
        }
        assertTrue(list.complete());
        for (Socket socket : idle) {
            socket.close();
        }
        end(node, DrainSchedule.IMMEDIATE);
    }
}
