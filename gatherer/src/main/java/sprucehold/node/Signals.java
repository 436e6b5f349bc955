package sprucehold.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/** Handlers of signals that would terminate the JVM otherwise. */
final class Signals {
    private Signals() {}

    /**
     * Runs the action each time the process receives SIGHUP, on a separate thread for the signal.
     */
    static void onHangUp(Runnable action) {
        // The JDK handles signals only through sun.misc. A direct reference to it causes a compiler
        // warning that can't be turned off, so it is called by reflection.
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocationHandler =
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                            return null;
                        }
                        return method.invoke(action, arguments);
                    };
            signal.getMethod("handle", signal, handler)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            Proxy.newProxyInstance(
                                    Signals.class.getClassLoader(),
                                    new Class<?>[] {handler},
                                    invocationHandler));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot install a handler for SIGHUP", e);
        }
    }
}
